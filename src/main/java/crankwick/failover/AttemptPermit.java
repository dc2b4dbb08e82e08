package crankwick.failover;

/** The decision whether an attempt of a request may be sent. */
public enum AttemptPermit {
    GRANTED,
    /**
     * The attempt must not be sent: the request's key window, in which databases discard repeats of the idempotency
     * key, has ended or ends within the key margin.
     */
    KEY_EXPIRED,
    /** The attempt must not be sent: the key registry is at capacity and cannot record the request's key. */
    REGISTRY_FULL
}
