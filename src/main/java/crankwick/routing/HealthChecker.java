package crankwick.routing;

import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingLimits;

/** Starts health checks, limited by a budget and by a minimum interval per endpoint. */
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

    /** Whether the endpoint is available, its last check is complete and old enough, and the budget allows another. */
    boolean mayCheck(EndpointState endpoint, long now) {
        HealthStatus health = endpoint.health();
        return endpoint.isAvailable()
                && !health.isHealthCheckInFlight()
                && now - health.lastHealthCheckAt() >= scaleByCost(HealthStatus.HEALTH_CHECK_INTERVAL_MICROS)
                && !budget.isExhausted();
    }

    /** Returns the interval multiplied by the cost factor of health checks. */
    double scaleByCost(long interval) {
        return interval * budget.costFactor();
    }

    void check(EndpointState endpoint, long now, RoutingActions actions) {
        budget.withdraw();
        endpoint.health().startHealthCheck(now);
        actions.checkHealth(endpoint.id());
    }
}
