package crankwick.routing.api;

/** How far a request may be repeated once it may have run. */
public enum Idempotency {
    IDEMPOTENT,
    WITH_KEY,
    NON_IDEMPOTENT
}
