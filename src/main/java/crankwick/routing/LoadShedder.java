package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;

/** Sheds load: an endpoint gets no request that it is not expected to answer in time. */
final class LoadShedder {
    /** Above this utilization, further requests only lengthen the queue. */
    static final double SATURATED_UTILIZATION = 0.9;

    /**
     * Lag above which a saturated replica gets no request of the class with the highest priority weight. The
     * threshold of other classes is proportional to their weight.
     */
    private static final long OVERLOADED_LAG_MICROS = 1_500 * MICROS_PER_MILLI;

    private final RoutingSettings settings;
    private final LatencyEstimates latency;
    private final double maxPriorityWeight;

    LoadShedder(RoutingSettings settings, LatencyEstimates latency, double maxPriorityWeight) {
        this.settings = settings;
        this.latency = latency;
        this.maxPriorityWeight = maxPriorityWeight;
    }

    /**
     * Whether the endpoint is expected to respond in time. If less than half of the request's latency objective is
     * left, the endpoint may take half of the objective from now.
     */
    boolean canRespondInTime(EndpointState endpoint, PendingRequest request, long now) {
        long objective = request.requestClass().latencyObjective();
        double expectedResponseAt = now + latency.expectedDuration(endpoint, request, now);
        double latestResponseAt = Math.max(request.objectiveEndsAt(), now + objective / 2);
        return !isOverloaded(endpoint, request, now)
                && expectedResponseAt < Math.min(request.lastUsefulAt(), latestResponseAt);
    }

    /**
     * Whether the endpoint is a saturated replica that lags too far for this request. In a large fleet the
     * concurrency limits cannot keep reads from starving its replication. Drawback: if the lag has another cause,
     * requests are shed without benefit.
     */
    private boolean isOverloaded(EndpointState endpoint, PendingRequest request, long now) {
        return isLargeFleet()
                && endpoint.load().isRecent(now)
                && endpoint.load().utilization() > SATURATED_UTILIZATION
                && endpoint.role() == Role.REPLICA
                && endpoint.position().observedLag()
                        > OVERLOADED_LAG_MICROS * request.requestClass().priorityWeight() / maxPriorityWeight;
    }

    /**
     * Whether there are more proxies than an endpoint's initial limit over all proxies. A concurrency limit of one
     * request per proxy then does not prevent overload.
     */
    boolean isLargeFleet() {
        return settings.proxyCount() > ConcurrencyLimit.INITIAL_FLEET_LIMIT;
    }

    /** Whether the request, sent now, would be answered too late to be of any use even by an idle endpoint. */
    boolean isTooLateToSend(PendingRequest request, long now) {
        return now + latency.baselineDuration(request) > request.lastUsefulAt();
    }

    /** Whether the request, sent now to an idle endpoint, would meet its latency objective. */
    boolean canMeetObjective(PendingRequest request, long now) {
        return request.meetsObjectiveAt(now + latency.baselineDuration(request));
    }
}
