package crankwick.failover;

/** The actions that the broker executes for the {@link FailoverCoordinator}, immediately and in order. */
public interface FailoverActions {
    /** Passes a buffered request to the router. */
    void release(long requestId);

    /** Rejects a buffered request with a retry-after of {@code retryAfter} microseconds. */
    void reject(long requestId, long retryAfter);

    /** Fails a request that may have executed and can no longer be repeated safely. */
    void failWithUnknownOutcome(long requestId);

    /** Cancels a request's attempt that is in flight at an endpoint other than the new leader. */
    void cancelAttempt(long requestId);

    /** Schedules a call of {@link FailoverCoordinator#onTimer} after {@code delay} microseconds. */
    void scheduleTimer(long delay);

    /** Writes a line to the log. */
    void log(String line);
}
