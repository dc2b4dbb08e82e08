package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingLimits;

/** The responsiveness of one endpoint, by its last response, health checks and refused connections. */
final class HealthStatus {
    /** An endpoint that has not responded this long after a health check gets no new requests. */
    static final long HEALTH_CHECK_TIMEOUT_MICROS = 25 * MICROS_PER_MILLI;
    /** After this time without a response, idempotent requests in flight are cancelled and retried elsewhere. */
    static final long UNHEALTHY_AFTER_MICROS = 80 * MICROS_PER_MILLI;
    /** After this time without a response, the endpoint counts as lost. */
    static final long LOST_AFTER_MICROS = 400 * MICROS_PER_MILLI;
    /** Approximately the period at which endpoints update their load reports. */
    static final long HEALTH_CHECK_INTERVAL_MICROS = 80 * MICROS_PER_MILLI;

    /** A connection attempt that fails within this fraction of its timeout was refused. */
    private static final double REFUSED_TIMEOUT_FRACTION = 0.8;

    private final RoutingLimits limits;
    private long lastResponseAt = NEVER;
    private long lastHealthCheckAt = NEVER;
    private boolean healthCheckInFlight;
    /** Time of the first health check since the last response, or NONE. */
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

    /** Returns whether the endpoint has been checked and has not responded for longer than the interval. */
    boolean isUnresponsive(long interval, long now) {
        return limits.healthChecksAllowed()
                && unresponsiveSince != AbsentValue.NONE
                && now - unresponsiveSince > interval;
    }

    /** Returns whether the endpoint has responded within the interval, or is new and trusted because it is listed. */
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

    /** Allows an inconclusive health check to be repeated immediately. */
    void allowImmediateHealthCheck(long now) {
        lastHealthCheckAt = now - HEALTH_CHECK_INTERVAL_MICROS;
    }

    /** Records a response; returns true if the endpoint had refused a connection, so that its process is new. */
    boolean recordResponse(long now) {
        boolean wasRefused = connectionRefused;
        lastResponseAt = now;
        unresponsiveSince = AbsentValue.NONE;
        connectionRefused = false;
        return wasRefused;
    }

    /** Records a failed connection attempt: it was refused, or the connect timeout expired. */
    void recordUnreachable(long duration, long now) {
        connectionRefused |= duration < limits.connectTimeout() * REFUSED_TIMEOUT_FRACTION;
        long since = unresponsiveSince == AbsentValue.NONE ? now : unresponsiveSince;
        unresponsiveSince = Math.min(since, now - LOST_AFTER_MICROS - 1);
    }
}
