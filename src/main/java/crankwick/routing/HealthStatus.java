package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingLimits;

/** The responsiveness of one endpoint, by its last response, health checks and failed connection attempts. */
final class HealthStatus {
    /** An endpoint that has not responded this long after a health check gets no new requests. */
    static final long HEALTH_CHECK_TIMEOUT_MICROS = 25 * MICROS_PER_MILLI;
    /**
     * An endpoint that has not responded this long after a health check is unhealthy: long-running attempts of
     * idempotent requests at it are cancelled and the requests are retried elsewhere.
     */
    static final long UNHEALTHY_AFTER_MICROS = 80 * MICROS_PER_MILLI;
    /**
     * An endpoint that has not responded this long after a health check, or to which a connection attempt has failed,
     * counts as lost; if all replicas are lost, ejected or unavailable, reads use the primary.
     */
    static final long LOST_AFTER_MICROS = 400 * MICROS_PER_MILLI;
    /**
     * The minimum interval between health checks of one endpoint, before it is multiplied by the cost factor.
     * Approximately the period at which endpoints update their load reports.
     */
    static final long HEALTH_CHECK_INTERVAL_MICROS = 80 * MICROS_PER_MILLI;

    /** A connection attempt that fails within this fraction of its timeout was refused. */
    private static final double REFUSED_TIMEOUT_FRACTION = 0.8;

    private final RoutingLimits limits;
    private long lastResponseAt = NEVER;
    private long lastHealthCheckAt = NEVER;
    private boolean healthCheckInFlight;
    /**
     * Time of the first health check since the endpoint's last response, moved to an earlier time by a failed
     * connection attempt; or NONE.
     */
    private long unresponsiveSince = AbsentValue.NONE;
    /** Whether the endpoint has refused a connection since its last response. */
    private boolean connectionRefused;

    HealthStatus(RoutingLimits limits) {
        this.limits = limits;
    }

    long lastResponseAt() {
        return lastResponseAt;
    }

    long lastHealthCheckAt() {
        return lastHealthCheckAt;
    }

    boolean isHealthCheckInFlight() {
        return healthCheckInFlight;
    }

    /**
     * Returns whether the endpoint has not responded for longer than the interval since a health check; also true after
     * a failed connection attempt for intervals up to {@link #LOST_AFTER_MICROS}. Always false if the settings do not
     * allow health checks.
     */
    boolean isUnresponsive(long interval, long now) {
        return limits.healthChecksAllowed()
                && unresponsiveSince != AbsentValue.NONE
                && now - unresponsiveSince > interval;
    }

    /**
     * Returns whether the endpoint has responded within the interval, or has never responded and is trusted because it
     * is listed.
     */
    boolean hasRespondedWithin(long interval, long now) {
        return now - lastResponseAt <= interval || lastResponseAt == NEVER;
    }

    void startHealthCheck(long now) {
        healthCheckInFlight = true;
        lastHealthCheckAt = now;
        unresponsiveSince = unresponsiveSince == AbsentValue.NONE ? now : unresponsiveSince;
    }

    void endHealthCheck() {
        healthCheckInFlight = false;
    }

    /**
     * Allows an inconclusive health check to be repeated immediately, unless the cost factor extends the minimum
     * interval.
     */
    void allowImmediateHealthCheck(long now) {
        lastHealthCheckAt = now - HEALTH_CHECK_INTERVAL_MICROS;
    }

    /**
     * Records a response; returns true if the endpoint had refused a connection since its previous response, which
     * suggests that its process is new.
     */
    boolean recordResponse(long now) {
        boolean wasRefused = connectionRefused;
        lastResponseAt = now;
        unresponsiveSince = AbsentValue.NONE;
        connectionRefused = false;
        return wasRefused;
    }

    /**
     * Records a failed connection attempt, which was refused or exceeded the connect timeout. The endpoint counts as
     * lost until it responds.
     */
    void recordUnreachable(long duration, long now) {
        connectionRefused |= duration < limits.connectTimeout() * REFUSED_TIMEOUT_FRACTION;
        long since = unresponsiveSince == AbsentValue.NONE ? now : unresponsiveSince;
        unresponsiveSince = Math.min(since, now - LOST_AFTER_MICROS - 1);
    }
}
