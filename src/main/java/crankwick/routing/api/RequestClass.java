package crankwick.routing.api;

/** A class of request; {@code latencyObjective} earns full worth, {@code lateWeight} is the share earned afterwards. */
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
