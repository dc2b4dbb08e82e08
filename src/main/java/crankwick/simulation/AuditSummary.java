package crankwick.simulation;

import crankwick.broker.Reply;
import java.util.Map;

/**
 * What the audit has counted in a run.
 *
 * @param failovers changes of leaders
 * @param keys idempotency keys that were used
 * @param violations counts by kind; kinds that did not occur may be missing
 * @param failoversBeforeViolation before the first violation; -1 for no violation
 * @param rejectedWrites rejected requests that were writes
 * @param meanRejectionWaitMillis how long these had waited
 * @param reasons rejected and failed requests by reason
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
        long meanRejectionWaitMillis,
        Map<Reply.Reason, Long> reasons) {
    long count(Violation violation) {
        return violations.getOrDefault(violation, 0L);
    }

    long totalViolations() {
        return violations.values().stream().mapToLong(Long::longValue).sum();
    }
}
