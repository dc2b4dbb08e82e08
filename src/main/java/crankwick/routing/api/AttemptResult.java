package crankwick.routing.api;

/** The result of an attempt or a health check. */
public enum AttemptResult {
    /** Succeeded. */
    OK(false),
    /** The endpoint responded with an error. */
    ERROR(false),
    /** The endpoint rejected the request for lack of capacity. */
    REJECTED_OVERLOADED(true),
    /** No response arrived in time. */
    TIMEOUT(false),
    /** No connection was made. */
    UNREACHABLE(true),
    /** The connection was made, but broke before the last byte was written. */
    CONNECTION_LOST_BEFORE_SEND(true),
    /** The connection broke after the request was written. */
    RESET(false),
    /** A pooled connection broke when it was reused; it shows nothing of the endpoint. */
    STALE_CONNECTION(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was not sent. */
    NOT_SENT(true),
    /** The endpoint's role or replication lag does not allow it to serve the request. */
    INELIGIBLE_REPLICA(true);

    private final boolean provesNotExecuted;

    AttemptResult(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** True if the attempt is known not to have been executed. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
