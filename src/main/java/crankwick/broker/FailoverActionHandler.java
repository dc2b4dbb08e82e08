package crankwick.broker;

import crankwick.failover.FailoverActions;
import crankwick.routing.api.AttemptResult;

/** Turns the failover coordinator's decisions into events for the router, and effects. */
final class FailoverActionHandler implements FailoverActions {
    private final Reduction reduction;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;

    FailoverActionHandler(
            Reduction reduction, ActiveRequests requests, RequestLifecycle lifecycle, AttemptController attempts) {
        this.reduction = reduction;
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
        answer(requestId, new Reply.Rejected(Reply.Reason.NO_PRIMARY, retryAfter));
    }

    @Override
    public void failWithUnknownOutcome(long requestId) {
        answer(requestId, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
    }

    /** The router hears of the answer only if it knows the request. */
    private void answer(long requestId, Reply reply) {
        ActiveRequest request = requests.find(requestId);
        if (request.isBuffered()) {
            lifecycle.answer(request, reply);
            lifecycle.removeIfFinished(request);
        } else {
            lifecycle.answerAndAbandon(request, reply);
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
        reduction.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.FailoverTimerFired()));
    }

    @Override
    public void log(String line) {
        reduction.emit(new Effect.Log(line));
    }
}
