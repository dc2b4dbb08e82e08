package crankwick.routing.api;

/** Which endpoints deduplicate the retries of a request with an idempotency key. */
public enum DeduplicationScope {
    FLEET,
    ZONE,
    GROUP
}
