package crankwick.simulation;

import java.util.EnumMap;
import java.util.Map;

/** Counts the writes that could have been served during a failover, and how many of them were served. */
final class ReachableWrites {
    private final Map<Reachability, Long> reachable = new EnumMap<>(Reachability.class);
    private final Map<Reachability, Long> served = new EnumMap<>(Reachability.class);

    void add(Reachability kind, boolean wasServed) {
        reachable.merge(kind, 1L, Long::sum);
        if (wasServed) {
            served.merge(kind, 1L, Long::sum);
        }
    }

    long count(Reachability... kinds) {
        return sum(reachable, kinds);
    }

    /** The share of the reachable writes that was served, 0 to 1 with four decimal places; 1 if there were none. */
    double servedShare(Reachability... kinds) {
        long total = sum(reachable, kinds);
        return total == 0 ? 1 : Math.round(10_000.0 * sum(served, kinds) / total) / 10_000.0;
    }

    private static long sum(Map<Reachability, Long> counts, Reachability... kinds) {
        long sum = 0;
        for (Reachability kind : kinds) {
            sum += counts.getOrDefault(kind, 0L);
        }
        return sum;
    }
}
