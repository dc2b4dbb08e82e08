package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.GiveUpCause;
import crankwick.routing.api.RoutingActions;

/**
 * Carries out the router's actions on requests and turns its other actions into effects; actions on finished requests
 * are ignored.
 */
final class RouterActionHandler implements RoutingActions {
    private final ReductionContext context;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final FailoverDelegate failover;
    private final BrokerCounters counters;

    RouterActionHandler(
            ReductionContext context,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            AttemptController attempts,
            FailoverDelegate failover,
            BrokerCounters counters) {
        this.context = context;
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

    /**
     * Rejects a request, or fails it if a request with the same key may have executed and a repeat may execute again.
     * The router considers each request separately, so it may reject a request as safe to retry although another
     * request with the same key has executed.
     */
    @Override
    public void reject(long requestId, long retryAfter) {
        reply(
                requestId,
                failover.hasUnknownOutcome(requestId)
                        ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                        : new Reply.Rejected(Reply.Reason.GIVEN_UP, retryAfter));
    }

    @Override
    public void fail(long requestId) {
        reply(requestId, new Reply.Failed(Reply.Reason.GIVEN_UP));
    }

    @Override
    public void explainGiveUp(long requestId, GiveUpCause cause) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            request.history().recordGiveUpCause(cause);
        }
    }

    private void reply(long requestId, Reply reply) {
        ActiveRequest request = requests.find(requestId);
        if (request != null) {
            lifecycle.reply(request, reply);
            lifecycle.removeIfFinished(request);
        }
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        ActiveRequest request = requests.find(requestId);
        if (request != null && request.isAttemptInFlight(attempt)) {
            attempts.cancel(request, AttemptResult.CANCELLED);
        }
    }

    @Override
    public void checkHealth(String endpointId) {
        counters.countHealthCheck();
        context.emit(new Effect.CheckHealth(endpointId));
    }

    @Override
    public void scheduleTimer(long delay, long timerId) {
        context.emit(new Effect.ScheduleTimer(delay, new BrokerEvent.RoutingTimerFired(timerId)));
    }

    @Override
    public void watchEndpoints() {
        // Nothing to do: the discovery client watches the endpoint list without being asked.
    }

    @Override
    public void fetchEndpoints() {
        // Nothing to do: the discovery client fetches the complete list without being asked.
    }

    @Override
    public void log(String line) {
        context.emit(new Effect.Log(line));
    }
}
