package crankwick.routing.api;

/** Whether a request that may have been executed may be retried. */
public enum Idempotency {
    /** The request may be retried at any endpoint. */
    IDEMPOTENT,
    /** The request may be retried at endpoints that recognize its idempotency key, until the key expires. */
    WITH_KEY,
    /** The request must not be retried. */
    NON_IDEMPOTENT
}
