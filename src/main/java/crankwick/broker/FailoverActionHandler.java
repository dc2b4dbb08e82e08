package crankwick.broker;

import crankwick.failover.FailoverActions;
import crankwick.routing.api.AttemptResult;

/** Carries out the failover coordinator's actions on requests, which adds routing events and effects. */
final class FailoverActionHandler implements FailoverActions {
    private final ReductionContext context;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;

    FailoverActionHandler(
            ReductionContext context, ActiveRequests requests, RequestLifecycle lifecycle, AttemptController attempts) {
        this.context = context;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.attempts = attempts;
    }

    @Override
    public void release(long requestId) {
        lifecycle.release(requests.find(requestId));
    }

    @Override
    public void reject(long requestId, long retryAfter) {
        reply(requestId, new Reply.Rejected(Reply.Reason.NO_PRIMARY, retryAfter));
    }

    @Override
    public void failWithUnknownOutcome(long requestId) {
        reply(requestId, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
    }

    /**
     * Replies to a request, and notifies the router unless the request is still buffered and so unknown to the router.
     */
    private void reply(long requestId, Reply reply) {
        ActiveRequest request = requests.find(requestId);
        if (request.isBuffered()) {
            lifecycle.reply(request, reply);
            lifecycle.removeIfFinished(request);
        } else {
            lifecycle.replyAndAbandon(request, reply);
        }
    }

    @Override
    public void cancelAttempt(long requestId) {
        ActiveRequest request = requests.find(requestId);
        if (request.isAttemptInFlight()) {
            attempts.cancel(request, AttemptResult.CANCELLED);
        }
    }

    @Override
    public void scheduleTimer(long delay) {
        context.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.FailoverTimerFired()));
    }

    @Override
    public void log(String line) {
        context.emit(new Effect.Log(line));
    }
}
