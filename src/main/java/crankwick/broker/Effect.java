package crankwick.broker;

/** What is to be carried out after a reduction; effects are carried out in the order given. */
public sealed interface Effect {
    /**
     * Send a request to a database, which has until {@code expiresAt}. Not a byte may be written from
     * {@code startDeadline} on: the client has given up by then, or the window in which databases discard repeats of
     * an attempt that may have executed is over.
     */
    record SendAttempt(long requestId, int attempt, String endpointId, long expiresAt, long startDeadline)
            implements Effect {}

    /** Stop waiting for an attempt, so that it can no longer be answered. */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** End an attempt of which nothing has been written yet; one that has begun goes on. */
    record CancelQueuedAttempt(long requestId) implements Effect {}

    /** Give the client its final answer. */
    record SendReply(long requestId, Reply reply) implements Effect {}

    /** Request a load report of a database. */
    record CheckHealth(String endpointId) implements Effect {}

    /** Have the broker reduce {@code event} after {@code delay} microseconds. */
    record ScheduleTimer(long delay, BrokerEvent event) implements Effect {}

    /** A line for the operators. */
    record Log(String line) implements Effect {}
}
