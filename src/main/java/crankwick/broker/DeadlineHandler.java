package crankwick.broker;

import crankwick.routing.api.AttemptResult;

/** Handles requests whose deadline has been reached. */
final class DeadlineHandler {
    /**
     * How long after the deadline a written attempt of an idempotent request may still end, so that its outcome is
     * recorded and its connection is not closed. The client gets its reply at the deadline.
     */
    private static final long GRACE_PERIOD_MICROS = 1_000_000;

    private final ReductionContext context;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final RoutingDriver routing;
    private final FailoverDelegate failover;

    DeadlineHandler(
            ReductionContext context,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            AttemptController attempts,
            RoutingDriver routing,
            FailoverDelegate failover) {
        this.context = context;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.attempts = attempts;
        this.routing = routing;
        this.failover = failover;
    }

    /**
     * Fails a request that has no reply at its deadline, or rejects it if it is still buffered and a retry is safe.
     * Also cancels the attempt in flight, after the grace period if one applies.
     */
    void onDeadline(long requestId) {
        ActiveRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        if (isWithinGracePeriod(request)) {
            rescheduleDeadline(request, request.expiresAt() + GRACE_PERIOD_MICROS - context.now());
        } else if (request.isAttemptQueued() && !request.isQueuedCancelRequested()) {
            cancelQueuedAttempt(request);
            return;
        } else if (request.isAttemptInFlight()) {
            attempts.cancel(request, AttemptResult.TIMEOUT);
            routing.processPendingEvents();
        }
        if (!request.isCompleted()) {
            lifecycle.replyAndAbandon(request, replyAtDeadline(request));
        }
    }

    private boolean isWithinGracePeriod(ActiveRequest request) {
        return request.isAttemptWritten()
                && request.isIdempotent()
                && context.now() < request.expiresAt() + GRACE_PERIOD_MICROS;
    }

    /**
     * Requests cancellation of an attempt that may still be queued in the database pool, and schedules the deadline
     * again without delay. Only the pool knows whether the attempt has begun. If it has not, the pool ends it with
     * NOT_SENT. If it has, the attempt is still in flight at the second deadline, which cancels it as an attempt that
     * may have executed.
     */
    private void cancelQueuedAttempt(ActiveRequest request) {
        request.markQueuedCancelRequested();
        context.emit(new Effect.CancelQueuedAttempt(request.id()));
        rescheduleDeadline(request, 0);
    }

    private void rescheduleDeadline(ActiveRequest request, long delay) {
        context.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.DeadlineReached(request.id())));
    }

    private Reply replyAtDeadline(ActiveRequest request) {
        boolean neverExecuted = request.isBuffered() && !failover.hasUnknownOutcome(request.id());
        return neverExecuted
                ? failover.noPrimaryReply(request.request(), context.now())
                : new Reply.Failed(Reply.Reason.NO_OUTCOME);
    }
}
