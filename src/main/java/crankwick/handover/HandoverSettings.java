package crankwick.handover;

/**
 * What an installation sets of changes of primaries; times in microseconds.
 *
 * @param heldPerGroup requests held for one group, 0 or more; 0 holds nothing. Default 512: at a site's 25
 *     writes a second and group, that is 20 s of them, more than any deadline
 * @param heldPerTeam requests held of one team over all groups. Default 2,048
 * @param bytesPerGroup bytes of statements held for one group. Default 1 MiB
 * @param bytesPerTeam bytes of statements held of one team. Default 4 MiB
 * @param hopeLeast a request waits only while the chance that the change ends in time is this or more, 0 to
 *     1. Default 0.05: at 0.02 the refused waited as long as ever, at 0.1 two more in a hundred were lost
 * @param startWindow requests let go at once to a primary that has just taken over, 1 or more; each answer
 *     in time allows one more. Default 4
 * @param keyMargin a key's window ends this long early, for the way there. Default 100 ms
 * @param keys keys that may have run and are remembered, 1 or more. Default 65,536: 3 MB when full
 * @param keyMemory how long after its window a key that may have run is still known, so that a client's retry
 *     is failed instead of run a second time. Default 3 s, the longest deadline
 * @param unplannedLeast the shortest change of a dead primary that is expected before any was seen; to
 *     {@code unplannedMost}. Default 2.9 to 6.6 s
 * @param plannedLeast the shortest change of a draining one; to {@code plannedMost}. Default 0.49 to 1 s
 */
public record HandoverSettings(
        int heldPerGroup,
        int heldPerTeam,
        long bytesPerGroup,
        long bytesPerTeam,
        double hopeLeast,
        int startWindow,
        long keyMargin,
        int keys,
        long keyMemory,
        long unplannedLeast,
        long unplannedMost,
        long plannedLeast,
        long plannedMost) {
    /** The defaults, from the site's stated times. */
    public static final HandoverSettings DEFAULT = new HandoverSettings(
            512, 2_048, 1 << 20, 4 << 20, 0.05, 4, 100_000, 65_536, 3_000_000, 2_900_000, 6_600_000, 490_000,
            1_000_000);

    /** Checks every field; throws IllegalArgumentException naming the one at fault. */
    public HandoverSettings {
        require(heldPerGroup >= 0, "held_per_group");
        require(heldPerTeam >= 0, "held_per_team");
        require(bytesPerGroup >= 0, "held_bytes_per_group");
        require(bytesPerTeam >= 0, "held_bytes_per_team");
        require(hopeLeast >= 0 && hopeLeast <= 1, "hope_least");
        require(startWindow >= 1, "start_window");
        require(keyMargin >= 0, "key_margin_ms");
        require(keys >= 1 && keys <= 1 << 24, "keys");
        require(keyMemory >= 0, "key_memory_ms");
        require(unplannedLeast > 0, "unplanned_least_ms");
        require(unplannedMost >= unplannedLeast, "unplanned_most_ms");
        require(plannedLeast > 0, "planned_least_ms");
        require(plannedMost >= plannedLeast, "planned_most_ms");
    }

    /** The same with another least hope. */
    public HandoverSettings withHopeLeast(double hope) {
        return new HandoverSettings(
                heldPerGroup,
                heldPerTeam,
                bytesPerGroup,
                bytesPerTeam,
                hope,
                startWindow,
                keyMargin,
                keys,
                keyMemory,
                unplannedLeast,
                unplannedMost,
                plannedLeast,
                plannedMost);
    }

    private static void require(boolean holds, String key) {
        if (!holds) {
            throw new IllegalArgumentException("unusable key handover." + key);
        }
    }
}
