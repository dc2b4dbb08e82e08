package crankwick.routing.api;

/** The result of an attempt or a health check. */
public enum AttemptResult {
    /** The endpoint responded without error; for an attempt, the request was served. */
    OK(false),
    /** The endpoint responded with an error; the request may have been executed. */
    ERROR(false),
    /** The endpoint was at its limit and rejected the request without executing it. */
    REJECTED_OVERLOADED(true),
    /** No response arrived before the timeout; the request may have been executed. */
    TIMEOUT(false),
    /** The connection was refused or not established within the connect timeout. */
    UNREACHABLE(true),
    /** The connection failed before the last byte of the request was written, but was not refused. */
    CONNECTION_LOST_BEFORE_SEND(true),
    /**
     * The connection was lost, or closed because of an invalid response, after the request was written; the request may
     * have been executed.
     */
    RESET(false),
    /**
     * A reused connection failed right after the request was written, probably because the endpoint had closed it
     * earlier; the request may have been executed.
     */
    STALE_CONNECTION(false),
    /** This proxy cancelled the attempt; the request may have been executed. */
    CANCELLED(false),
    /** The attempt was not sent to the endpoint. */
    NOT_SENT(true),
    /**
     * The endpoint is a replica and rejected the request without executing it: the request is a write, or a read that
     * needs a later log position.
     */
    INELIGIBLE_REPLICA(true);

    private final boolean provesNotExecuted;

    AttemptResult(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Returns whether this result proves that the endpoint did not execute the request. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
