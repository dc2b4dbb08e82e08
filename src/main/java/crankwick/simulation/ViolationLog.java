package crankwick.simulation;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts violations, and keeps the first one with the trace that leads to it. */
final class ViolationLog {
    private static final long NONE = -1;

    private final AuditTrace trace;
    private final LongSupplier failovers;
    private final Map<Violation, Long> counts = new EnumMap<>(Violation.class);
    private String first;
    private long failoversBeforeFirst = NONE;

    /** Violations of a run, of which {@code failovers} counts the failovers so far. */
    ViolationLog(AuditTrace trace, LongSupplier failovers) {
        this.trace = trace;
        this.failovers = failovers;
    }

    void add(Violation violation, long now, int group, long requestId, String message) {
        add(violation, now, group, requestId, null, message);
    }

    /** Counts a violation that concerns a request and, where it is not null, an idempotency key. */
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

    /** The first violation with its trace; null for none. */
    String first() {
        return first;
    }

    /** How many failovers came before the first violation; -1 for no violation. */
    long failoversBeforeFirst() {
        return failoversBeforeFirst;
    }
}
