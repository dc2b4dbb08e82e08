package crankwick.routing.api;

/** What the router decides; the caller carries each call out at once and in order. */
public interface RoutingActions {
    /** Starts an attempt with a timeout; {@link AbsentValue#NONE} for the time that its client has left. */
    void send(long requestId, String endpointId, long timeout);

    /** Final answer: rejected without effect, to be retried after a time; 0 where that is not said. */
    void reject(long requestId, long retryAfter);

    /** Final answer: failed, its effect unknown. */
    void fail(long requestId);

    /** Asks an endpoint for its load report; a {@link HealthCheckResult} is to follow. */
    void checkHealth(String endpointId);

    /** Cancels an attempt; an {@link AttemptOutcome} is to follow. */
    void cancelAttempt(long requestId, int attempt);

    /** Asks for a {@link TimerFired} event after a delay. */
    void scheduleTimer(long delay, long timerId);

    /** Asks discovery for changes from now on. */
    void watchEndpoints();

    /** Asks discovery for the complete list once. */
    void fetchEndpoints();

    /** Writes a line to the log. */
    void log(String line);
}
