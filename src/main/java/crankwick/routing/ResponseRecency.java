package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.RoutingLimits;

/** Decides which endpoints have responded recently enough to be sent requests without a health check. */
final class ResponseRecency {
    private static final long MIN_RECENCY_MICROS = 300 * MICROS_PER_MILLI;
    /** A response counts as recent for so many mean intervals between responses of an endpoint. */
    private static final double RESPONSE_INTERVALS = 4;

    private final RoutingLimits limits;
    private final HealthCheckBudget budget;
    private long recencyMicros;

    ResponseRecency(RoutingLimits limits, HealthCheckBudget budget) {
        this.limits = limits;
        this.budget = budget;
    }

    /**
     * Adapts the recency to the rate of attempts, once per event. The more proxies share the work, the longer
     * each is without responses of healthy endpoints: a short recency would need a health check before nearly
     * every read. It is bounded by the window in which attempts are counted.
     */
    void update(int endpoints, FleetActivity activity, long now) {
        long window = FleetActivity.SEND_RATE_WINDOW_MICROS;
        double span = RESPONSE_INTERVALS * endpoints * window / Math.max(1, activity.recentAttempts(now));
        recencyMicros = Math.max(MIN_RECENCY_MICROS, (long) Math.min(window, span));
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
        boolean pendingTooLong = health.isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now);
        return !pendingTooLong && (health.hasRespondedWithin(recency(endpoint), now) || budget.isExhausted());
    }

    /** A primary's stays short: a write sent to one that has stopped can't be cancelled. */
    private long recency(EndpointState endpoint) {
        if (endpoint != endpoint.group().primary()) {
            return recencyMicros;
        }
        return (long) Math.min(FleetActivity.SEND_RATE_WINDOW_MICROS, MIN_RECENCY_MICROS * budget.costFactor());
    }
}
