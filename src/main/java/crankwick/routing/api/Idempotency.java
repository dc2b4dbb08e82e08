package crankwick.routing.api;

/** Whether a request that may have run may be sent again. */
public enum Idempotency {
    /** Always. */
    IDEMPOTENT,
    /** To endpoints that recognize its idempotency key, while they do. */
    WITH_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
