package crankwick.failover;

/**
 * What an installation configures of failovers; times in microseconds. The operator's file has keys of its own for
 * these, which the messages of mistakes name.
 *
 * @param maxBufferedPerGroup requests buffered for one group, 0 or more; 0 buffers none
 * @param maxBufferedPerTeam requests buffered of one team over all groups
 * @param maxBytesPerGroup bytes of statements buffered for one group
 * @param maxBytesPerTeam bytes of statements buffered of one team
 * @param minSuccessProbability a request waits only while the failover ends in time with this probability or more,
 *     0 to 1
 * @param initialWindow requests released at once to a new primary, 1 or more
 * @param keyMargin a key's window ends this much early, for the way to the database
 * @param maxKeys keys that may have executed and are remembered, 1 or more
 * @param keyRetention how long after its window a key that may have executed is still remembered, so that a client's
 *     retry fails instead of executing a second time
 * @param minUnplannedDuration the shortest expected failover from a failed primary
 * @param maxUnplannedDuration the longest expected failover from a failed primary
 * @param minPlannedDuration the shortest expected failover from a draining primary
 * @param maxPlannedDuration the longest expected failover from a draining primary
 */
public record FailoverSettings(
        int maxBufferedPerGroup,
        int maxBufferedPerTeam,
        long maxBytesPerGroup,
        long maxBytesPerTeam,
        double minSuccessProbability,
        int initialWindow,
        long keyMargin,
        int maxKeys,
        long keyRetention,
        long minUnplannedDuration,
        long maxUnplannedDuration,
        long minPlannedDuration,
        long maxPlannedDuration) {
    private static final int MAX_KEYS_LIMIT = 1 << 24;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long BYTES_PER_MEBIBYTE = 1 << 20;

    /** What holds where the operator's file is silent. */
    public static final FailoverSettings DEFAULT = new FailoverSettings(
            512,
            2_048,
            BYTES_PER_MEBIBYTE,
            4 * BYTES_PER_MEBIBYTE,
            0.05,
            4,
            100 * MICROS_PER_MILLI,
            65_536,
            3_000 * MICROS_PER_MILLI,
            2_900 * MICROS_PER_MILLI,
            6_600 * MICROS_PER_MILLI,
            490 * MICROS_PER_MILLI,
            1_000 * MICROS_PER_MILLI);

    /** Checks every field; throws IllegalArgumentException that names the key of the operator's file. */
    public FailoverSettings {
        require(maxBufferedPerGroup >= 0, "held_per_group");
        require(maxBufferedPerTeam >= 0, "held_per_team");
        require(maxBytesPerGroup >= 0, "held_bytes_per_group");
        require(maxBytesPerTeam >= 0, "held_bytes_per_team");
        require(minSuccessProbability >= 0 && minSuccessProbability <= 1, "hope_least");
        require(initialWindow >= 1, "start_window");
        require(keyMargin >= 0, "key_margin_ms");
        require(maxKeys >= 1 && maxKeys <= MAX_KEYS_LIMIT, "keys");
        require(keyRetention >= 0, "key_memory_ms");
        require(minUnplannedDuration > 0, "unplanned_least_ms");
        require(maxUnplannedDuration >= minUnplannedDuration, "unplanned_most_ms");
        require(minPlannedDuration > 0, "planned_least_ms");
        require(maxPlannedDuration >= minPlannedDuration, "planned_most_ms");
    }

    /** The same with another minimum of the success probability. */
    public FailoverSettings withMinSuccessProbability(double probability) {
        return new FailoverSettings(
                maxBufferedPerGroup,
                maxBufferedPerTeam,
                maxBytesPerGroup,
                maxBytesPerTeam,
                probability,
                initialWindow,
                keyMargin,
                maxKeys,
                keyRetention,
                minUnplannedDuration,
                maxUnplannedDuration,
                minPlannedDuration,
                maxPlannedDuration);
    }

    private static void require(boolean holds, String key) {
        if (!holds) {
            throw new IllegalArgumentException("unusable key handover." + key);
        }
    }
}
