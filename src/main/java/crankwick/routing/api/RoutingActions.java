package crankwick.routing.api;

/** What a router does; the caller carries it out at once and in order. */
public interface RoutingActions {
    /** Starts an attempt that times out after {@code patience}; NONE: when the client gives up. */
    void send(long id, String server, long patience);

    /** Final answer: refused, a further try is harmless. */
    void reject(long id, long retryAfter);

    /** Final answer: failed, its effect unknown. */
    void fail(long id);

    /** Asks a server for its report. */
    void checkHealth(String server);

    /** Stops waiting for an attempt. */
    void cancelAttempt(long id, int attempt);

    /** Asks for a {@link TimerFired} event. */
    void scheduleTimer(long fromNow, long ref);

    /** Asks discovery for changes from now on. */
    void watchEndpoints();

    /** Asks discovery for the whole list once. */
    void fetchEndpoints();

    /** A line for the operators. */
    void log(String line);
}
