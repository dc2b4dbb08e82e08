package crankwick.simulation;

import static crankwick.simulation.Reachability.PLANNED;
import static crankwick.simulation.Reachability.UNPLANNED;
import static crankwick.simulation.Reachability.WARMING_UP;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The result of a {@link FailoverSimulation}. */
public final class FailoverReport {
    private final AuditSummary audit;
    private final long maxBuffered;
    private final long proxyRestarts;
    private final long simulatedSeconds;
    private final long seed;
    private final double elapsedSeconds;

    FailoverReport(
            AuditSummary audit,
            long maxBuffered,
            long proxyRestarts,
            long simulatedSeconds,
            long seed,
            double elapsedSeconds) {
        this.audit = audit;
        this.maxBuffered = maxBuffered;
        this.proxyRestarts = proxyRestarts;
        this.simulatedSeconds = simulatedSeconds;
        this.seed = seed;
        this.elapsedSeconds = elapsedSeconds;
    }

    AuditSummary audit() {
        return audit;
    }

    /** The maximum number of requests buffered at once. */
    long maxBuffered() {
        return maxBuffered;
    }

    /** Returns all figures under their names in the command's output, in the order of that output. */
    public Map<String, Object> figures() {
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("failovers", audit.failovers());
        figures.put("keys", audit.keys());
        addViolations(figures);
        addReachableWrites(figures);
        addReplies(figures);
        figures.put("held_max", maxBuffered);
        figures.put("restarts", proxyRestarts);
        figures.put("simulated_s", simulatedSeconds);
        figures.put("seed", seed);
        figures.put("took_s", elapsedSeconds);
        return figures;
    }

    private void addViolations(Map<String, Object> figures) {
        for (Violation violation : Violation.values()) {
            figures.put(violation.figure(), audit.count(violation));
        }
        figures.put("violations", audit.totalViolations());
        figures.put("first_violation_after", audit.failoversBeforeViolation());
    }

    private void addReachableWrites(Map<String, Object> figures) {
        ReachableWrites writes = audit.reachableWrites();
        figures.put("reachable", writes.count(UNPLANNED, PLANNED));
        figures.put("served_of_reachable", writes.servedShare(UNPLANNED, PLANNED));
        for (Reachability kind : List.of(UNPLANNED, PLANNED, WARMING_UP)) {
            figures.put("reachable_" + kind.figure(), writes.count(kind));
            figures.put("served_of_reachable_" + kind.figure(), writes.servedShare(kind));
        }
    }

    private void addReplies(Map<String, Object> figures) {
        figures.put("served", audit.served());
        figures.put("refused", audit.rejected());
        figures.put("failed", audit.failed());
        figures.put("refused_writes", audit.rejectedWrites());
        figures.put("mean_wait_of_refused_writes_ms", audit.meanRejectionLatencyMillis());
        Map<String, Long> reasons = new TreeMap<>();
        audit.reasons().forEach((reason, count) -> reasons.put(reason.name().toLowerCase(Locale.ROOT), count));
        figures.put("reasons", reasons);
    }
}
