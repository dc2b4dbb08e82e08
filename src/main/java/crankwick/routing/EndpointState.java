package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;

/**
 * This proxy's state of one endpoint: its status in the endpoint list and its role, and one object each for its
 * position, load, latency, outlier ejection, concurrency limit, health and slow start.
 */
final class EndpointState {
    /**
     * An endpoint without an attempt in flight is removed this long after it was unlisted or last responded, whichever
     * is later.
     */
    private static final long UNLISTED_RETENTION_MICROS = 30 * MICROS_PER_SECOND;

    private final String id;
    private final int zone;
    private final EndpointGroup group;
    private final boolean usableWhenUnlisted;
    private final ReplicationPosition position = new ReplicationPosition();
    private final ReportedLoad load = new ReportedLoad();
    private final EndpointLatency latency = new EndpointLatency();
    private final OutlierDetector outlier = new OutlierDetector();
    private final ConcurrencyLimit concurrency;
    private final HealthStatus health;
    private final SlowStart slowStart;
    private boolean listed = true;
    private long unlistedAt = NEVER;
    private boolean draining;
    private Role role = Role.UNKNOWN;
    private long roleAsOf = Long.MIN_VALUE;

    EndpointState(Endpoint entry, EndpointGroup group, RoutingSettings settings) {
        id = entry.id();
        zone = entry.zone();
        this.group = group;
        usableWhenUnlisted = settings.rules().unlistedEndpointsUsable();
        concurrency = new ConcurrencyLimit(settings.proxyCount());
        health = new HealthStatus(settings.limits());
        slowStart = new SlowStart(settings.rules());
    }

    String id() {
        return id;
    }

    int zone() {
        return zone;
    }

    EndpointGroup group() {
        return group;
    }

    ReplicationPosition position() {
        return position;
    }

    ReportedLoad load() {
        return load;
    }

    EndpointLatency latency() {
        return latency;
    }

    OutlierDetector outlier() {
        return outlier;
    }

    ConcurrencyLimit concurrency() {
        return concurrency;
    }

    HealthStatus health() {
        return health;
    }

    SlowStart slowStart() {
        return slowStart;
    }

    /**
     * Records the status in the endpoint list; an endpoint that is unlisted while draining remains draining until it is
     * listed as live.
     */
    void updateStatus(EndpointStatus status, long now) {
        setListed(status != EndpointStatus.REMOVED, now);
        draining = status == EndpointStatus.DRAINING || draining && !listed;
    }

    /** Records that the endpoint is not in the endpoint list. */
    void unlist(long now) {
        setListed(false, now);
    }

    private void setListed(boolean isListed, long now) {
        unlistedAt = listed && !isListed ? now : unlistedAt;
        listed = isListed;
    }

    /** Returns whether the status in the endpoint list permits requests to this endpoint. */
    boolean isAvailable() {
        return !draining && (listed || usableWhenUnlisted);
    }

    /**
     * Returns whether the endpoint is available, not ejected and not unresponsive for longer than
     * {@link HealthStatus#UNHEALTHY_AFTER_MICROS}.
     */
    boolean isHealthy(long now) {
        return isAvailable()
                && !outlier.isEjected()
                && !health.isUnresponsive(HealthStatus.UNHEALTHY_AFTER_MICROS, now);
    }

    /** Returns whether the endpoint is unlisted and idle and its retention period is over. */
    boolean isExpired(long now) {
        long lastKnownAt = Math.max(unlistedAt, health.lastResponseAt());
        return !listed && concurrency.inFlight() == 0 && now - lastKnownAt > UNLISTED_RETENTION_MICROS;
    }

    Role role() {
        return role;
    }

    long roleAsOf() {
        return roleAsOf;
    }

    /** Records a role unless a newer one is known; returns whether the role was recorded. */
    boolean updateRole(Role observed, long asOf) {
        if (observed == Role.UNKNOWN || asOf < roleAsOf) {
            return false;
        }
        role = observed;
        roleAsOf = asOf;
        return true;
    }
}
