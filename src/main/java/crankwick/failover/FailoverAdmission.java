package crankwick.failover;

/** What becomes of a request that has been received. */
public enum FailoverAdmission {
    /** It goes to the router. */
    ADMIT,
    /** It waits for its group's leader. */
    BUFFER,
    /** It has not executed and cannot be served in time. */
    REJECT,
    /** It may have executed, and its key's window is over or will be. */
    FAIL
}
