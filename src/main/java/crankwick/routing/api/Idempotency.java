package crankwick.routing.api;

/** Whether a request may be retried once it may have been executed. */
public enum Idempotency {
    IDEMPOTENT,
    WITH_KEY,
    NON_IDEMPOTENT
}
