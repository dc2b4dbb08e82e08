package crankwick.routing;

import crankwick.routing.api.RoutingSettings;

/**
 * Limits the attempts sent to an endpoint in slow start. The endpoint's credit accrues at this proxy's share of the
 * rate that the rules allow, or at a minimum rate if that is higher. The share of a warm endpoint's capacity is derived
 * from the attempts sent per warm endpoint and the mean utilization, over all groups, so that it is known even if a
 * whole group is in slow start. Because every proxy applies the limit, the total load stays below the overload multiple
 * of the rules.
 */
final class SlowStartBudget {
    /** The fraction of the rate of attempts allowed by the rules that is used for an endpoint in slow start. */
    private static final double SAFETY_FACTOR = 0.65;

    private final RoutingSettings settings;
    private final EndpointRegistry registry;
    private final FleetActivity activity;

    SlowStartBudget(RoutingSettings settings, EndpointRegistry registry, FleetActivity activity) {
        this.settings = settings;
        this.registry = registry;
        this.activity = activity;
    }

    /** Accrues the credit of the endpoint up to now and returns whether it covers an attempt. */
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
