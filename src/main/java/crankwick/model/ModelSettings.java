package crankwick.model;

/**
 * Settings of one modelled group; times in microseconds.
 *
 * @param memberCount number of databases in the group, 2 to 64
 * @param coresPerMember number of statements that a member executes concurrently
 * @param maxQueuedStatements queue length at which a member rejects further statements
 * @param meanReadWorkMicros mean execution time of a read at full capacity, exponentially distributed
 * @param meanWriteWorkMicros mean execution time of a write at full capacity, exponentially distributed
 * @param replicationDelay time until a replica receives a log entry; entries arrive in order
 * @param applyWorkMicros time that a replica's single apply thread needs per entry
 * @param maxReadWaitMicros how long a read waits for its required position before it is rejected
 * @param keyTtlMicros how long an idempotency key is stored after its commit
 * @param failureDetectionDelay time from a primary's crash or hang until its failure is declared
 * @param electionDelay time from the declared failure until the election of a new leader
 * @param handoverDelay time from the start of a primary's drain until its successor is elected
 * @param demotionDelay how long a deposed primary claims the primary role after it restarts or resumes
 * @param initialCapacity fraction of the full capacity at process start; grows linearly over {@code warmUpMicros}
 * @param warmUpMicros time from process start until full capacity
 * @param overloadMultiple a member that is warming up collapses if the work that it received in the overload window
 *     exceeds this multiple of the work that its current capacity can execute in the window
 * @param overloadWindowMicros the sliding window over which received work is summed for the overload check
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
