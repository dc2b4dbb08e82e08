package crankwick.routing;

import crankwick.routing.api.RoutingSettings;

/**
 * Limits what an endpoint in slow start is sent. Its credit grows by this proxy's part of what the rules allow:
 * the attempts sent to each warm endpoint, at their mean utilization, give the part of a warm one's capacity,
 * also where a whole group is in slow start. With all proxies doing so the sum stays under the rules' multiple.
 */
final class SlowStartBudget {
    /** The fraction used of what the rules allow. */
    private static final double SAFETY_FACTOR = 0.65;

    private final RoutingSettings settings;
    private final EndpointRegistry registry;
    private final FleetActivity activity;

    SlowStartBudget(RoutingSettings settings, EndpointRegistry registry, FleetActivity activity) {
        this.settings = settings;
        this.registry = registry;
        this.activity = activity;
    }

    /** Earns the endpoint's credit up to now, and tells whether it pays for an attempt. */
    boolean allowsAttempt(EndpointState endpoint, long now) {
        SlowStart slowStart = endpoint.slowStart();
        double capacity = activity.capacityPerEndpoint(warmEndpoints(now), now);
        double allowed =
                SAFETY_FACTOR * settings.rules().overloadMultiple() * slowStart.capacityFraction(now) * capacity;
        double minimum = ConcurrencyLimit.MIN_FLEET_LIMIT / settings.proxyCount();
        return slowStart.earnCredit(Math.max(minimum, allowed), now);
    }

    private long warmEndpoints(long now) {
        return Math.max(
                1,
                registry.endpoints().stream()
                        .filter(endpoint ->
                                endpoint.isAvailable() && endpoint.slowStart().isWarm(now))
                        .count());
    }
}
