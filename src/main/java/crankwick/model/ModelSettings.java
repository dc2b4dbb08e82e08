package crankwick.model;

/**
 * The figures of one modelled group; times in microseconds. The defaults are those of the site that the
 * project was built for: two cores, a few milliseconds of work a statement, semi-synchronous replication.
 *
 * @param members databases in the group, 2 to 64
 * @param cores statements that one member works on at once
 * @param queue statements that wait at one member before further ones are turned away
 * @param readWork mean work of a read on a warm core, exponentially distributed
 * @param writeWork the same of a write
 * @param shipLeast least time until a replica has received an entry of the log
 * @param shipMost most time for it, uniform between the two, in order
 * @param applyWork what a replica's one apply thread takes for each entry
 * @param readWait how long a member lets a read wait for a position that it has not reached
 * @param keyTtl how long a key is remembered from its commit on
 * @param giveUpLeast least time from a primary's death or hang until it is given up; to {@code giveUpMost}
 * @param takeoverLeast least time from the giving up until a replica takes over; to {@code takeoverMost}
 * @param drainLeast least time from a drain to the hand-over; to {@code drainMost}
 * @param claimMost a primary that returns after its overthrow claims its old role for up to so long
 * @param startCapacity share of the capacity at a start, 0 to 1, growing evenly over {@code ramp}
 * @param fallMultiple a cold member falls when sent this multiple of its capacity for {@code tipAfter}
 */
public record ModelSettings(
        int members,
        int cores,
        int queue,
        long readWork,
        long writeWork,
        long shipLeast,
        long shipMost,
        long applyWork,
        long readWait,
        long keyTtl,
        long giveUpLeast,
        long giveUpMost,
        long takeoverLeast,
        long takeoverMost,
        long drainLeast,
        long drainMost,
        long claimMost,
        double startCapacity,
        long ramp,
        double fallMultiple,
        long tipAfter) {
    /** Three members, as on the site. */
    public static final ModelSettings SITE = new ModelSettings(
            3,
            2,
            60,
            3_000,
            4_000,
            300,
            2_500,
            400,
            20_000,
            2_000_000,
            1_300_000,
            2_900_000,
            1_600_000,
            3_700_000,
            490_000,
            1_000_000,
            1_000_000,
            0.18,
            16_000_000,
            2.5,
            2_000_000);
}
