package crankwick.failover;

/** The admission decision for a received request. */
public enum FailoverAdmission {
    /** The request goes to the router. */
    ADMIT,
    /** The request is buffered until its group has a leader. */
    BUFFER,
    /** The request has not executed, and is unlikely to be served in time or exceeds a buffer limit. */
    REJECT,
    /** The request may have executed and cannot be admitted, for example because its key window has ended. */
    FAIL
}
