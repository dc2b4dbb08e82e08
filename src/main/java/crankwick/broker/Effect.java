package crankwick.broker;

/** What the broker asks for; effects are carried out in the order given. */
public sealed interface Effect {
    /**
     * Send a request to a database; it should wait until {@code expiresAt} at most. Not a byte may be written
     * from {@code startBefore} on: the client has given up by then, or the window in which databases discard
     * repeats of an attempt that may have run is over.
     */
    record SendAttempt(long requestId, int attempt, String endpointId, long expiresAt, long startBefore)
            implements Effect {}

    /** Stop waiting for an attempt, so that it can no longer be answered. */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** End an attempt of which nothing has been written yet; one that has begun goes on. */
    record CancelQueued(long requestId) implements Effect {}

    /** Give the caller its final answer. */
    record SendReply(long requestId, Reply reply) implements Effect {}

    /** Ask a database for its report. */
    record CheckHealth(String endpointId) implements Effect {}

    /** Tell the broker {@code event} after so many microseconds. */
    record ScheduleTimer(long delay, BrokerEvent event) implements Effect {}

    /** A line for the operators. */
    record Log(String line) implements Effect {}
}
