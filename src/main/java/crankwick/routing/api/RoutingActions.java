package crankwick.routing.api;

/** The actions of a router; the caller carries them out immediately and in order. */
public interface RoutingActions {
    /** Starts an attempt that times out after {@code timeout}; NONE: at the client's deadline. */
    void send(long requestId, String endpointId, long timeout);

    /** Final answer: rejected, a retry by the client is harmless. */
    void reject(long requestId, long retryAfter);

    /** Final answer: failed, it may have been executed. */
    void fail(long requestId);

    /** Starts a health check of an endpoint. */
    void checkHealth(String endpointId);

    /** Cancels an attempt. */
    void cancelAttempt(long requestId, int attempt);

    /** Schedules a {@link TimerFired} event after a delay. */
    void scheduleTimer(long delay, long timerId);

    /** Watches discovery for changes of the endpoint list. */
    void watchEndpoints();

    /** Fetches the full endpoint list once. */
    void fetchEndpoints();

    /** Logs a line for the operators. */
    void log(String line);
}
