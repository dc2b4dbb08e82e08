package crankwick.failover;

/** The decision whether an attempt of a request may be sent. */
public enum AttemptPermit {
    GRANTED,
    /** The key window, during which databases discard repeats of the idempotency key, has ended. */
    KEY_EXPIRED,
    /** The key registry is at capacity and cannot record the request's key. */
    REGISTRY_FULL
}
