package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.RoutingActions;

/** Turns the router's actions into effects; an action on a request that is finished is dropped. */
final class RouterActionHandler implements RoutingActions {
    private final Reduction reduction;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final FailoverGate failover;
    private final BrokerCounters counters;

    RouterActionHandler(
            Reduction reduction,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            AttemptController attempts,
            FailoverGate failover,
            BrokerCounters counters) {
        this.reduction = reduction;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.attempts = attempts;
        this.failover = failover;
        this.counters = counters;
    }

    @Override
    public void send(long requestId, String endpointId, long timeout) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            attempts.send(request, endpointId);
        }
    }

    /** The router knows one request only; what it rejects as harmless may have executed by another. */
    @Override
    public void reject(long requestId, long retryAfter) {
        answer(
                requestId,
                failover.hasUnknownOutcome(requestId)
                        ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                        : new Reply.Rejected(Reply.Reason.GIVEN_UP, retryAfter));
    }

    @Override
    public void fail(long requestId) {
        answer(requestId, new Reply.Failed(Reply.Reason.GIVEN_UP));
    }

    private void answer(long requestId, Reply reply) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            lifecycle.answer(request, reply);
            lifecycle.removeIfFinished(request);
        }
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        ActiveRequest request = requests.find(requestId);
        if (request != null && request.isInFlight(attempt)) {
            attempts.cancel(request, AttemptResult.CANCELLED);
        }
    }

    @Override
    public void checkHealth(String endpointId) {
        counters.countHealthCheck();
        reduction.emit(new Effect.CheckHealth(endpointId));
    }

    @Override
    public void scheduleTimer(long delay, long timerId) {
        reduction.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.RoutingTimerFired(timerId)));
    }

    @Override
    public void watchEndpoints() {
        // Discovery watches the endpoint list by itself from its start on.
    }

    @Override
    public void fetchEndpoints() {
        // Nor does it need to be asked for the complete list.
    }

    @Override
    public void log(String line) {
        reduction.emit(new Effect.Log(line));
    }
}
