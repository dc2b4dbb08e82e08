package crankwick.simulation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts violations by kind, and records a description of the first one with the trace lines about it. */
final class ViolationLog {
    private static final long NONE = -1;

    private final AuditTrace trace;
    private final LongSupplier failovers;
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);
    private String first;
    private long failoversBeforeFirst = NONE;

    /** Creates an empty log; {@code failovers} returns the number of failovers so far. */
    ViolationLog(AuditTrace trace, LongSupplier failovers) {
        this.trace = trace;
        this.failovers = failovers;
    }

    void add(Violation violation, long now, int group, long requestId, String message) {
        add(violation, now, group, requestId, null, message);
    }

    /**
     * Records a violation that concerns a request, or a whole group with {@link AuditTrace#GROUP_REQUEST_ID}, and,
     * unless null, an idempotency key.
     */
    void add(Violation violation, long now, int group, long requestId, String key, String message) {
        counts.merge(violation, 1L, Long::sum);
        trace.add(now, group, requestId, "VIOLATION " + message);
        if (first == null) {
            failoversBeforeFirst = failovers.getAsLong();
            first = message + " in group " + group + ", request " + requestId + '\n'
                    + trace.excerpt(group, requestId, key);
        }
    }

    Map<Violation, Long> counts() {
        return counts;
    }

    /** The first violation with its trace; null if there is none. */
    String first() {
        return first;
    }

    /** The number of failovers before the first violation; -1 without a violation. */
    long failoversBeforeFirst() {
        return failoversBeforeFirst;
    }
}
