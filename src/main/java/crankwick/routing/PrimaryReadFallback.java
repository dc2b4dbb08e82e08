package crankwick.routing;

import crankwick.routing.api.Role;

/** Decides when reads that replicas normally serve may use the primary. */
final class PrimaryReadFallback {
    /** Below this utilization a primary has capacity for reads. */
    private static final double SPARE_UTILIZATION = 0.8;

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
        return isEveryReplicaLost(request.group(), now) || hasIdlePrimary(request, now);
    }

    /**
     * With every replica removed, ejected or unresponsive for long, reads may use the primary until a replica
     * responds again. It may hurt where the primary has no capacity for them.
     */
    private static boolean isEveryReplicaLost(EndpointGroup group, long now) {
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
     * Where the fresh replicas only lack capacity, a read may use a primary that its own recent report shows
     * idle, with no write in flight. It guards against few crowded replicas beside an idle primary; it may hurt
     * when many proxies act on the same report. In a large fleet without load reports, the primaries must on
     * the whole be as fast as idle ones.
     */
    private boolean hasIdlePrimary(PendingRequest request, long now) {
        EndpointState primary = request.group().primary();
        return primary != null
                && showsLoad(now)
                && primary.load().isIdle(SPARE_UTILIZATION, now)
                && isLimitedByCapacity(request, now)
                && request.group().inFlight().values().stream()
                        .filter(other -> other.endpoint() == primary)
                        .noneMatch(PendingRequest::needsPrimary);
    }

    private boolean showsLoad(long now) {
        return activity.endpointsReportLoad()
                || !loadShedder.isLargeFleet()
                || latency.roleRatio(Role.PRIMARY, now) <= LatencyEstimates.BASELINE_LATENCY_RATIO;
    }

    /** Whether every healthy replica has responded recently and one at least is fresh, so all lack capacity. */
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
