package crankwick.failover;

/** Whether an attempt of a request may be sent. */
public enum AttemptPermit {
    GRANTED,
    /** The window in which databases discard repeats of its key is over. */
    KEY_EXPIRED,
    /** No further key can be remembered. */
    REGISTRY_FULL
}
