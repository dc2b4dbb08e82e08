package crankwick.routing;

import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingLimits;

/** Starts health checks within their budget and not too often. */
final class HealthChecker {
    private final RoutingLimits limits;
    private final HealthCheckBudget budget;

    HealthChecker(RoutingLimits limits, HealthCheckBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    boolean isEnabled() {
        return limits.healthChecksAllowed();
    }

    boolean mayCheck(EndpointState endpoint, long now) {
        HealthStatus health = endpoint.health();
        return endpoint.isAvailable()
                && !health.isHealthCheckInFlight()
                && now - health.lastHealthCheckAt() >= costAdjusted(HealthStatus.HEALTH_CHECK_INTERVAL_MICROS)
                && !budget.isExhausted();
    }

    /** The interval, made longer where health checks are expensive. */
    double costAdjusted(long interval) {
        return interval * budget.costFactor();
    }

    void check(EndpointState endpoint, long now, RoutingActions actions) {
        budget.spend();
        endpoint.health().startHealthCheck(now);
        actions.checkHealth(endpoint.id());
    }
}
