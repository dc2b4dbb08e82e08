package crankwick.routing;

import crankwick.routing.api.Role;

/** Decides when the primary may serve reads that replicas normally serve. */
final class PrimaryReadFallback {
    /** A primary has capacity for reads if its reported queue is empty and its utilization is below this. */
    private static final double MAX_IDLE_UTILIZATION = 0.8;

    private final ReplicaFreshness freshness;
    private final ResponseRecency recency;
    private final FleetActivity activity;
    private final LatencyEstimates latency;
    private final LoadShedder loadShedder;

    PrimaryReadFallback(
            ReplicaFreshness freshness,
            ResponseRecency recency,
            FleetActivity activity,
            LatencyEstimates latency,
            LoadShedder loadShedder) {
        this.freshness = freshness;
        this.recency = recency;
        this.activity = activity;
        this.latency = latency;
        this.loadShedder = loadShedder;
    }

    boolean mayReadFromPrimary(PendingRequest request, long now) {
        return hasNoUsableReplica(request.group(), now) || hasIdlePrimary(request, now);
    }

    /**
     * Whether every replica is unavailable, ejected or unresponsive for longer than
     * {@link HealthStatus#LOST_AFTER_MICROS}; reads then use the primary until a replica recovers. Drawback: the
     * primary may not have the capacity for them.
     */
    private static boolean hasNoUsableReplica(EndpointGroup group, long now) {
        for (EndpointState endpoint : group.endpoints()) {
            if (endpoint != group.primary()
                    && endpoint.isAvailable()
                    && !endpoint.outlier().isEjected()
                    && !endpoint.health().isUnresponsive(HealthStatus.LOST_AFTER_MICROS, now)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether the primary is idle while the fresh replicas lack capacity. It is idle if its own recent report says so
     * and this proxy has no write or strong read in flight at it. This keeps a few replicas from being overloaded next
     * to an idle primary. Drawback: many proxies may act on the same report. In a large fleet whose reports include no
     * load, the mean latency of the primaries must also not exceed that of idle endpoints.
     */
    private boolean hasIdlePrimary(PendingRequest request, long now) {
        EndpointState primary = request.group().primary();
        return primary != null
                && canTrustIdleReport(now)
                && primary.load().isIdle(MAX_IDLE_UTILIZATION, now)
                && isLimitedByCapacity(request, now)
                && request.group().inFlight().values().stream()
                        .filter(other -> other.endpoint() == primary)
                        .noneMatch(PendingRequest::needsPrimary);
    }

    private boolean canTrustIdleReport(long now) {
        return activity.endpointsReportLoad()
                || !loadShedder.isLargeFleet()
                || latency.roleRatio(Role.PRIMARY, now) <= LatencyEstimates.BASELINE_LATENCY_RATIO;
    }

    /**
     * Whether replicas lack only the capacity to serve the request: every healthy replica has responded recently
     * and at least one is fresh.
     */
    boolean isLimitedByCapacity(PendingRequest request, long now) {
        boolean hasFreshReplica = false;
        for (EndpointState endpoint : request.group().endpoints()) {
            if (request.group().isReplica(endpoint) && endpoint.isHealthy(now)) {
                if (!recency.hasRecentResponse(endpoint, now)) {
                    return false;
                }
                hasFreshReplica |= freshness.isFresh(endpoint, request, now);
            }
        }
        return hasFreshReplica;
    }
}
