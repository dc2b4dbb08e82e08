package crankwick.failover;

/**
 * What an installation sets of changes of primaries; times in microseconds.
 *
 * @param bufferedPerGroup requests held for one group, 0 or more; 0 holds nothing. Default 512: at a site's 25
 *     writes a second and group, that is 20 s of them, more than any deadline
 * @param bufferedPerTeam requests held of one team over all groups. Default 2,048
 * @param bytesPerGroup bytes of statements held for one group. Default 1 MiB
 * @param bytesPerTeam bytes of statements held of one team. Default 4 MiB
 * @param minSuccessProbability a request waits only while the chance that the change ends in time is this or more, 0 to
 *     1. Default 0.05: at 0.02 the refused waited as long as ever, at 0.1 two more in a hundred were lost
 * @param initialWindow requests let go at once to a primary that has just taken over, 1 or more; each answer
 *     in time allows one more. Default 4
 * @param keyMargin a key's window ends this long early, for the way there. Default 100 ms
 * @param maxKeys keys that may have run and are remembered, 1 or more. Default 65,536: 3 MB when full
 * @param keyRetention how long after its window a key that may have run is still known, so that a client's retry
 *     is failed instead of run a second time. Default 3 s, the longest deadline
 * @param unplannedMin the shortest change of a dead primary that is expected before any was seen; to
 *     {@code unplannedMax}. Default 2.9 to 6.6 s
 * @param plannedMin the shortest change of a draining one; to {@code plannedMax}. Default 0.49 to 1 s
 */
public record FailoverSettings(
        int bufferedPerGroup,
        int bufferedPerTeam,
        long bytesPerGroup,
        long bytesPerTeam,
        double minSuccessProbability,
        int initialWindow,
        long keyMargin,
        int maxKeys,
        long keyRetention,
        long unplannedMin,
        long unplannedMax,
        long plannedMin,
        long plannedMax) {
    /** The defaults, from the site's stated times. */
    public static final FailoverSettings DEFAULT = new FailoverSettings(
            512, 2_048, 1 << 20, 4 << 20, 0.05, 4, 100_000, 65_536, 3_000_000, 2_900_000, 6_600_000, 490_000,
            1_000_000);

    /** Checks every field; throws IllegalArgumentException naming the one at fault. */
    public FailoverSettings {
        require(bufferedPerGroup >= 0, "held_per_group");
        require(bufferedPerTeam >= 0, "held_per_team");
        require(bytesPerGroup >= 0, "held_bytes_per_group");
        require(bytesPerTeam >= 0, "held_bytes_per_team");
        require(minSuccessProbability >= 0 && minSuccessProbability <= 1, "hope_least");
        require(initialWindow >= 1, "start_window");
        require(keyMargin >= 0, "key_margin_ms");
        require(maxKeys >= 1 && maxKeys <= 1 << 24, "keys");
        require(keyRetention >= 0, "key_memory_ms");
        require(unplannedMin > 0, "unplanned_least_ms");
        require(unplannedMax >= unplannedMin, "unplanned_most_ms");
        require(plannedMin > 0, "planned_least_ms");
        require(plannedMax >= plannedMin, "planned_most_ms");
    }

    /** The same with another least hope. */
    public FailoverSettings withMinSuccessProbability(double hope) {
        return new FailoverSettings(
                bufferedPerGroup,
                bufferedPerTeam,
                bytesPerGroup,
                bytesPerTeam,
                hope,
                initialWindow,
                keyMargin,
                maxKeys,
                keyRetention,
                unplannedMin,
                unplannedMax,
                plannedMin,
                plannedMax);
    }

    private static void require(boolean holds, String key) {
        if (!holds) {
            throw new IllegalArgumentException("unusable key handover." + key);
        }
    }
}
