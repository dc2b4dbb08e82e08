package crankwick.broker;

import crankwick.routing.api.AttemptResult;

/** Decides what becomes of requests at their deadlines. */
final class DeadlineHandler {
    /** For how long an idempotent attempt may end by itself: its outcome is learned, its connection is kept. */
    private static final long GRACE_PERIOD_MICROS = 1_000_000;

    private final Reduction reduction;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final RoutingDriver routing;
    private final FailoverGate failover;

    DeadlineHandler(
            Reduction reduction,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            AttemptController attempts,
            RoutingDriver routing,
            FailoverGate failover) {
        this.reduction = reduction;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.attempts = attempts;
        this.routing = routing;
        this.failover = failover;
    }

    /** A request that has no answer at its deadline has failed, or is rejected if it has only been buffered. */
    void onDeadline(long requestId) {
        ActiveRequest request = requests.find(requestId);
        if (request == null) {
            return;
        }
        if (mayEndByItself(request)) {
            scheduleAgain(request, request.expiresAt() + GRACE_PERIOD_MICROS - reduction.now());
        } else if (request.isAttemptQueued() && !request.isCancelledAtDeadline()) {
            cancelQueued(request);
            return;
        } else if (request.isAttemptInFlight()) {
            attempts.cancel(request, AttemptResult.TIMEOUT);
            routing.run();
        }
        if (!request.isCompleted()) {
            lifecycle.answerAndAbandon(request, answerAtDeadline(request));
        }
    }

    private boolean mayEndByItself(ActiveRequest request) {
        return request.isAttemptWritten()
                && request.isIdempotent()
                && reduction.now() < request.expiresAt() + GRACE_PERIOD_MICROS;
    }

    /**
     * The command may be on its way, which only the pool can tell: an attempt that has not begun ends by this as
     * not sent, and one that has begun is cancelled right afterwards as one that may have executed.
     */
    private void cancelQueued(ActiveRequest request) {
        request.markCancelledAtDeadline();
        reduction.emit(new Effect.CancelQueuedAttempt(request.id()));
        scheduleAgain(request, 0);
    }

    private void scheduleAgain(ActiveRequest request, long delay) {
        reduction.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.DeadlineReached(request.id())));
    }

    private Reply answerAtDeadline(ActiveRequest request) {
        boolean neverExecuted = request.isBuffered() && !failover.hasUnknownOutcome(request.id());
        return neverExecuted
                ? failover.noPrimary(request.request(), reduction.now())
                : new Reply.Failed(Reply.Reason.NO_OUTCOME);
    }
}
