package crankwick.routing.api;

/**
 * A class of requests; an answer within {@code latencyObjective} has its full weight, later ones the fraction
 * {@code lateWeight}.
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
