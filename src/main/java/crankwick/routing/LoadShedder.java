package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;

/** Load shedding: no endpoint gets a request that it can't be expected to answer in time. */
final class LoadShedder {
    /** From this utilization on, further work only queues. */
    static final double FULL_UTILIZATION = 0.9;

    /** Lag at which a busy replica gets no request of the most important class; others scale with weight. */
    private static final long OVERLOADED_LAG_MICROS = 1_500 * MICROS_PER_MILLI;

    private final RoutingSettings settings;
    private final LatencyEstimates latency;
    private final double maxPriorityWeight;

    LoadShedder(RoutingSettings settings, LatencyEstimates latency, double maxPriorityWeight) {
        this.settings = settings;
        this.latency = latency;
        this.maxPriorityWeight = maxPriorityWeight;
    }

    /** Whether the endpoint can be expected to answer in time; late requests need a short expected latency. */
    boolean canAnswerInTime(EndpointState endpoint, PendingRequest request, long now) {
        long objective = request.requestClass().latencyObjective();
        double completedAt = now + latency.expectedDuration(endpoint, request, now);
        double latest = Math.max(request.objectiveEndsAt(), now + objective / 2);
        return !isOverloaded(endpoint, request, now) && completedAt < Math.min(request.lastUsefulAt(), latest);
    }

    /**
     * Whether a busy, lagging replica should be spared this request. In a large fleet the concurrency limits
     * can't keep its replication from starving. It may hurt where the lag has another cause.
     */
    private boolean isOverloaded(EndpointState endpoint, PendingRequest request, long now) {
        return isLargeFleet()
                && endpoint.load().isRecent(now)
                && endpoint.load().utilization() > FULL_UTILIZATION
                && endpoint.role() == Role.REPLICA
                && endpoint.position().observedLag()
                        > OVERLOADED_LAG_MICROS * request.requestClass().priorityWeight() / maxPriorityWeight;
    }

    /** Whether there are more proxies than an endpoint takes requests: limits of one each bind nobody. */
    boolean isLargeFleet() {
        return settings.proxyCount() > ConcurrencyLimit.INITIAL_FLEET_LIMIT;
    }

    /** Whether the request, sent now, would be answered too late even by an idle endpoint. */
    boolean isTooLate(PendingRequest request, long now) {
        return now + latency.baselineDuration(request) > request.lastUsefulAt();
    }

    /** Whether the request, sent now, meets its latency objective at an idle endpoint. */
    boolean canMeetObjective(PendingRequest request, long now) {
        return request.meetsObjectiveAt(now + latency.baselineDuration(request));
    }
}
