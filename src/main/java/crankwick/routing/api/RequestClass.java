package crankwick.routing.api;

/**
 * A class of requests, as the settings define it. Times are microseconds.
 *
 * @param consistency what its requests need of the data they read
 * @param stalenessBound greatest age of the data for {@link ConsistencyLevel#BOUNDED_STALENESS}
 * @param idempotency whether a request that may have run may be sent again
 * @param deduplicationScope which endpoints recognize the idempotency key of a request that ran before
 * @param keyTtl how long they remember the key
 * @param latencyObjective a response within this time earns the whole weight
 * @param deadline how long clients wait
 * @param priorityWeight what a request in time is worth
 * @param lateWeight the share of that which a response after the objective still earns
 */
public record RequestClass(
        ConsistencyLevel consistency,
        long stalenessBound,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long keyTtl,
        long latencyObjective,
        long deadline,
        double priorityWeight,
        double lateWeight) {}
