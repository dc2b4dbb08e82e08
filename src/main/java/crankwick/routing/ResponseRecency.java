package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.RoutingLimits;

/** Decides which endpoints have responded recently enough to be sent requests without a health check. */
final class ResponseRecency {
    private static final long MIN_RECENCY_WINDOW_MICROS = 300 * MICROS_PER_MILLI;
    /** The recency window as a multiple of the mean interval between this proxy's attempts at one endpoint. */
    private static final double RECENCY_RESPONSE_INTERVALS = 4;

    private final RoutingLimits limits;
    private final HealthCheckBudget budget;
    private long recencyWindowMicros;

    ResponseRecency(RoutingLimits limits, HealthCheckBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /**
     * Adapts the recency window to this proxy's rate of attempts; called once per event. The more proxies share the
     * load, the longer a proxy receives no response from a healthy endpoint, so that a short window would require a
     * health check before almost every read. The window is at most the one over which attempts are counted.
     */
    void update(int endpoints, FleetActivity activity, long now) {
        long sendRateWindow = FleetActivity.SEND_RATE_WINDOW_MICROS;
        double recentInterval =
                RECENCY_RESPONSE_INTERVALS * endpoints * sendRateWindow / Math.max(1, activity.recentAttempts(now));
        recencyWindowMicros = Math.max(MIN_RECENCY_WINDOW_MICROS, (long) Math.min(sendRateWindow, recentInterval));
    }

    /**
     * Returns whether the endpoint has responded recently and can be expected to respond now. Always true if the
     * settings do not allow health checks. If the health check budget is exhausted, an endpoint without a recent
     * response is accepted unless it is unresponsive, because a request that waits for a health check would certainly
     * be lost.
     */
    boolean hasRecentResponse(EndpointState endpoint, long now) {
        HealthStatus health = endpoint.health();
        if (!limits.healthChecksAllowed()) {
            return true;
        }
        boolean unresponsive = health.isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now);
        return !unresponsive && (health.hasRespondedWithin(recencyWindow(endpoint), now) || budget.isExhausted());
    }

    /**
     * The recency window of the endpoint. For a primary it does not depend on the rate of attempts and stays short,
     * because a write sent to a stopped primary can't be cancelled.
     */
    private long recencyWindow(EndpointState endpoint) {
        if (endpoint != endpoint.group().primary()) {
            return recencyWindowMicros;
        }
        return (long) Math.min(FleetActivity.SEND_RATE_WINDOW_MICROS, MIN_RECENCY_WINDOW_MICROS * budget.costFactor());
    }
}
