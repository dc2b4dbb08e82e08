package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingLimits;

/** Whether one endpoint responds: its last response, its health checks and its refused connections. */
final class HealthStatus {
    /** After so long without a response to a health check an endpoint gets no new requests. */
    static final long HEALTH_CHECK_TIMEOUT_MICROS = 25 * MICROS_PER_MILLI;
    /** After so long without one, its idempotent requests are cancelled and retried elsewhere. */
    static final long UNHEALTHY_AFTER_MICROS = 80 * MICROS_PER_MILLI;
    /** After so long without one, it counts as lost. */
    static final long LOST_AFTER_MICROS = 400 * MICROS_PER_MILLI;
    /** About the period of the endpoints' reports. */
    static final long HEALTH_CHECK_INTERVAL_MICROS = 80 * MICROS_PER_MILLI;

    /** A connection attempt that fails within this fraction of its timeout was refused. */
    private static final double REFUSED_TIMEOUT_FRACTION = 0.8;

    private final RoutingLimits limits;
    private long lastResponseAt = NEVER;
    private long lastHealthCheckAt = NEVER;
    private boolean healthCheckInFlight;
    /** The first health check since the last response, or NONE. */
    private long unresponsiveSince = AbsentValue.NONE;
    /** It refused a connection and has not responded since. */
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

    /** Whether it was checked and has not responded for so long, whatever the cause. */
    boolean isUnresponsive(long interval, long now) {
        return limits.healthChecksAllowed()
                && unresponsiveSince != AbsentValue.NONE
                && now - unresponsiveSince > interval;
    }

    /** Whether it responded within the interval, or has never responded and is trusted as listed. */
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

    /** Lets an inconclusive health check be repeated at once. */
    void allowImmediateHealthCheck(long now) {
        lastHealthCheckAt = now - HEALTH_CHECK_INTERVAL_MICROS;
    }

    /** Records a response; returns true if the endpoint had refused connections, so its process is new. */
    boolean recordResponse(long now) {
        boolean wasRefused = connectionRefused;
        lastResponseAt = now;
        unresponsiveSince = AbsentValue.NONE;
        connectionRefused = false;
        return wasRefused;
    }

    /** Records that no connection was made: it was refused at once, or the connect timeout ran out. */
    void recordUnreachable(long duration, long now) {
        connectionRefused |= duration < limits.connectTimeout() * REFUSED_TIMEOUT_FRACTION;
        long since = unresponsiveSince == AbsentValue.NONE ? now : unresponsiveSince;
        unresponsiveSince = Math.min(since, now - LOST_AFTER_MICROS - 1);
    }
}
