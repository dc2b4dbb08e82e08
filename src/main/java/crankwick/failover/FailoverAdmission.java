package crankwick.failover;

/** The admission decision for a received request. */
public enum FailoverAdmission {
    /** The request is passed to the router at once. */
    ADMIT,
    /** The request is buffered until the failover coordinator releases it to the router, rejects it or fails it. */
    BUFFER,
    /**
     * The request is rejected: it is unlikely to be served in time or exceeds a buffer limit, and a retry of it is
     * safe.
     */
    REJECT,
    /**
     * The request is failed: a request with the same key may have executed, and this request cannot be admitted, for
     * example because the key window has ended.
     */
    FAIL
}
