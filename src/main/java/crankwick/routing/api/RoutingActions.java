package crankwick.routing.api;

/** The actions requested by the router. The caller performs each one immediately, in call order. */
public interface RoutingActions {
    /** Starts an attempt with a timeout; {@link AbsentValue#NONE} stands for the client's remaining time. */
    void send(long requestId, String endpointId, long timeout);

    /**
     * Answers the request as rejected, so that the client can safely retry it, with a retry-after time or 0 for none.
     */
    void reject(long requestId, long retryAfter);

    /** Answers the request as failed; whether it took effect is unknown. */
    void fail(long requestId);

    /** States why the next action on the request, {@link #reject} or {@link #fail}, is taken. */
    default void explainGiveUp(long requestId, GiveUpCause cause) {}

    /** Requests a load report from an endpoint; a {@link HealthCheckResult} must follow. */
    void checkHealth(String endpointId);

    /** Cancels an attempt; an {@link AttemptOutcome} must follow. */
    void cancelAttempt(long requestId, int attempt);

    /** Schedules a {@link TimerFired} event after a delay. */
    void scheduleTimer(long delay, long timerId);

    /** Starts watching discovery for changes of the endpoint list. */
    void watchEndpoints();

    /** Fetches the complete endpoint list from discovery once. */
    void fetchEndpoints();

    /** Writes a line to the log. */
    void log(String line);
}
