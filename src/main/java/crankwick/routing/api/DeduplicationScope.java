package crankwick.routing.api;

/** Which endpoints recognize the idempotency key of a request that ran before. */
public enum DeduplicationScope {
    /** All. */
    FLEET,
    /** Those in the same zone. */
    ZONE,
    /** Those of the same group. */
    GROUP
}
