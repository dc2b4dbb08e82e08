package crankwick.model;

/**
 * Settings of one modelled group; times in microseconds.
 *
 * @param memberCount databases in the group, 2 to 64
 * @param coresPerMember statements that one member executes at once
 * @param maxQueuedStatements statements that wait at one member before further ones are rejected
 * @param meanReadWorkMicros mean work of a read on a warm core, exponentially distributed
 * @param meanWriteWorkMicros mean work of a write on a warm core, exponentially distributed
 * @param replicationDelay time until a replica has received an entry of the log; entries stay in order
 * @param applyWorkMicros what a replica's one apply thread takes for each entry
 * @param maxReadWaitMicros how long a member lets a read wait for a position that it has not reached
 * @param keyTtlMicros how long an idempotency key is remembered from its commit on
 * @param failureDetectionDelay time from a primary's crash or hang until it is declared failed
 * @param electionDelay time from that declaration until a replica takes over
 * @param handoverDelay time from the start of a primary's drain until its successor is elected
 * @param demotionDelay how long a deposed primary that is back claims its old role
 * @param initialCapacity share of the capacity at a start, 0 to 1, growing linearly over {@code warmUpMicros}
 * @param warmUpMicros time from a start until the full capacity is reached
 * @param overloadMultiple a cold member collapses when sent this multiple of its capacity
 * @param overloadWindowMicros the sliding window over which that work is summed up
 */
public record ModelSettings(
        int memberCount,
        int coresPerMember,
        int maxQueuedStatements,
        long meanReadWorkMicros,
        long meanWriteWorkMicros,
        DelayRange replicationDelay,
        long applyWorkMicros,
        long maxReadWaitMicros,
        long keyTtlMicros,
        DelayRange failureDetectionDelay,
        DelayRange electionDelay,
        DelayRange handoverDelay,
        DelayRange demotionDelay,
        double initialCapacity,
        long warmUpMicros,
        double overloadMultiple,
        long overloadWindowMicros) {
    /** Three members of two cores each, with semi-synchronous replication. */
    public static final ModelSettings DEFAULT = new ModelSettings(
            3,
            2,
            60,
            3_000,
            4_000,
            new DelayRange(300, 2_500),
            400,
            20_000,
            2_000_000,
            new DelayRange(1_300_000, 2_900_000),
            new DelayRange(1_600_000, 3_700_000),
            new DelayRange(490_000, 1_000_000),
            new DelayRange(0, 1_000_000),
            0.18,
            16_000_000,
            2.5,
            2_000_000);
}
