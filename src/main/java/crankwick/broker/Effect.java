package crankwick.broker;

/** An action to carry out after a reduction; effects are carried out in the order given. */
public sealed interface Effect {
    /**
     * Send a request to a database, which has until {@code expiresAt} to serve it. The first byte must be written
     * before {@code startDeadline}. This is the time at which the client stops waiting or, if it is earlier and an
     * attempt may have executed, the end of the key window, in which databases discard repeats.
     */
    record SendAttempt(long requestId, int attempt, String endpointId, long expiresAt, long startDeadline)
            implements Effect {}

    /**
     * Cancel an attempt: what its database has not received yet is not delivered, and a later response is discarded.
     */
    record CancelAttempt(long requestId, int attempt) implements Effect {}

    /** Cancel an attempt of which no byte has been written yet; an attempt that has begun continues. */
    record CancelQueuedAttempt(long requestId) implements Effect {}

    /** Send the client the final reply. */
    record SendReply(long requestId, Reply reply) implements Effect {}

    /** Request a load report from a database. */
    record CheckHealth(String endpointId) implements Effect {}

    /** Pass {@code event} to the broker after {@code delay} microseconds. */
    record ScheduleTimer(long delay, BrokerEvent event) implements Effect {}

    /** Cancel the timers of a finished request, whose events are {@link BrokerEvent.RequestTimerEvent}s. */
    record CancelRequestTimers(long requestId) implements Effect {}

    /** Write a line to the operators' log. */
    record Log(String line) implements Effect {}
}
