package crankwick.simulation;

import crankwick.broker.Reply;
import java.util.Map;

/**
 * Results of the {@link FailoverAudit} of a run.
 *
 * @param failovers elections of a leader other than the previous one
 * @param keys distinct idempotency keys in requests
 * @param violations number of violations by kind; a kind that did not occur is absent
 * @param failoversBeforeViolation number of failovers before the first violation; -1 if there was none
 * @param rejectedWrites number of rejected writes
 * @param meanRejectionLatencyMillis mean time from receipt to rejection of the rejected writes
 * @param reasons counts of rejected and failed requests by reason
 */
record AuditSummary(
        long failovers,
        long keys,
        Map<Violation, Long> violations,
        long failoversBeforeViolation,
        ReachableWrites reachableWrites,
        long served,
        long rejected,
        long failed,
        long rejectedWrites,
        long meanRejectionLatencyMillis,
        Map<Reply.Reason, Long> reasons) {
    long count(Violation violation) {
        return violations.getOrDefault(violation, 0L);
    }

    long totalViolations() {
        return violations.values().stream().mapToLong(Long::longValue).sum();
    }
}
