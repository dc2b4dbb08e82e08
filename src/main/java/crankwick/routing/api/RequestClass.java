package crankwick.routing.api;

/**
 * A class of requests defined in the settings. Times are in microseconds.
 *
 * @param consistency the consistency that its requests require
 * @param stalenessBound the maximum age of the data for {@link ConsistencyLevel#BOUNDED_STALENESS}
 * @param idempotency whether a request that may have been executed may be retried
 * @param deduplicationScope the endpoints that recognize the idempotency key of a request executed earlier
 * @param keyTtl how long these endpoints keep the key
 * @param latencyObjective the response time within which a response earns the full priority weight
 * @param deadline the time that clients allow for a request
 * @param priorityWeight the value of a response within the latency objective
 * @param lateWeight the fraction of the priority weight earned by a response after the objective
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
