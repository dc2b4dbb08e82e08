package crankwick.failover;

/** What the broker carries out for the {@link FailoverCoordinator}, at once and in order. */
public interface FailoverActions {
    /** Passes a buffered request on to the router. */
    void release(long requestId);

    /** Answers a buffered request: rejected, to be retried after {@code retryAfter} microseconds. */
    void reject(long requestId, long retryAfter);

    /** Answers a request: failed, because it may have executed and its key's window is over. */
    void failWithUnknownOutcome(long requestId);

    /** Cancels the attempt in flight at a leader that has been replaced. */
    void cancelAttempt(long requestId);

    /** Asks for a call of {@link FailoverCoordinator#onTimer} in so many microseconds. */
    void scheduleTimer(long delay);

    /** Writes a line for the operators. */
    void log(String line);
}
