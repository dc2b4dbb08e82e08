package crankwick.failover;

/**
 * Settings for failovers; times in microseconds. The keys in the operator's file differ from the component names here;
 * validation errors contain the key in the file.
 *
 * @param maxBufferedPerGroup the maximum number of requests buffered for one group; 0 disables buffering
 * @param maxBufferedPerTeam the maximum number of requests of one team buffered over all groups
 * @param maxBytesPerGroup the maximum total size of the statements buffered for one group, in bytes
 * @param maxBytesPerTeam the maximum total size of the statements of one team buffered over all groups, in bytes
 * @param minSuccessProbability the minimum probability, 0 to 1, that the failover ends in time for a request to be
 *     admitted or stay buffered
 * @param initialWindow the initial size of the release window: how many requests released to a new primary may be open
 *     at the same time, 1 or more
 * @param keyMargin how long before the end of a key window the last attempt may be sent, to cover the latency to the
 *     database
 * @param maxKeys the maximum number of keys in the registry, 1 or more
 * @param keyRetention how long the key of a request that may have executed stays in the registry after its key window,
 *     so that a client's retry fails instead of executing a second time
 * @param minUnplannedDuration the shortest expected duration of a failover from a failed primary
 * @param maxUnplannedDuration the longest expected duration of a failover from a failed primary
 * @param minPlannedDuration the shortest expected duration of a failover from a primary listed as draining or removed
 * @param maxPlannedDuration the longest expected duration of a failover from a primary listed as draining or removed
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

    /** The default values of the settings whose keys are missing in the operator's file. */
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

    /** Validates all components; throws an IllegalArgumentException with the key in the operator's file. */
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

    /** Returns a copy with another minimum success probability. */
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

    private static void require(boolean condition, String key) {
        if (!condition) {
            throw new IllegalArgumentException("unusable key handover." + key);
        }
    }
}
