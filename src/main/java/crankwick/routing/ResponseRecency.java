package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.RoutingLimits;

/** Decides which endpoints have responded recently enough to be sent requests without a health check. */
final class ResponseRecency {
    private static final long MIN_RECENCY_WINDOW_MICROS = 300 * MICROS_PER_MILLI;
    /** A response counts as recent for so many mean intervals between responses of an endpoint. */
    private static final double RECENCY_RESPONSE_INTERVALS = 4;

    private final RoutingLimits limits;
    private final HealthCheckBudget budget;
    private long recencyWindowMicros;

    ResponseRecency(RoutingLimits limits, HealthCheckBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /**
     * Adapts the recency to the rate of attempts, once per event. The more proxies share the work, the longer
     * each is without responses of healthy endpoints: a short recency would need a health check before nearly
     * every read. It is bounded by the sendRateWindow in which attempts are counted.
     */
    void update(int endpoints, FleetActivity activity, long now) {
        long sendRateWindow = FleetActivity.SEND_RATE_WINDOW_MICROS;
        double recentInterval =
                RECENCY_RESPONSE_INTERVALS * endpoints * sendRateWindow / Math.max(1, activity.recentAttempts(now));
        recencyWindowMicros = Math.max(MIN_RECENCY_WINDOW_MICROS, (long) Math.min(sendRateWindow, recentInterval));
    }

    /**
     * Whether the endpoint has responded recently, so that it can be expected to respond now. With no health
     * check affordable, waiting for one would lose the request for certain.
     */
    boolean hasRecentResponse(EndpointState endpoint, long now) {
        HealthStatus health = endpoint.health();
        if (!limits.healthChecksAllowed()) {
            return true;
        }
        boolean unresponsive = health.isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now);
        return !unresponsive && (health.hasRespondedWithin(recencyWindow(endpoint), now) || budget.isExhausted());
    }

    /** A primary's stays short: a write sent to one that has stopped can't be cancelled. */
    private long recencyWindow(EndpointState endpoint) {
        if (endpoint != endpoint.group().primary()) {
            return recencyWindowMicros;
        }
        return (long) Math.min(FleetActivity.SEND_RATE_WINDOW_MICROS, MIN_RECENCY_WINDOW_MICROS * budget.costFactor());
    }
}
