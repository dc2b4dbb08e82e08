package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.RoutingActions;
import java.util.ArrayDeque;

/**
 * Selects the endpoints to health-check for queued requests. For a read that no replica can serve yet, one replica at a
 * time is checked; if none needs a check and the replicas only lack capacity, the primary is checked for a recent load
 * report. For a request that needs the primary, the primary is checked if it has not responded recently, and every
 * endpoint of the group if the primary is unknown or unhealthy.
 */
final class HealthCheckScheduler {
    /**
     * The minimum interval between checks of a replica that is unresponsive or lags far behind, before it is multiplied
     * by the cost factor.
     */
    private static final long LONG_CHECK_INTERVAL_MICROS = 500 * MICROS_PER_MILLI;
    /** A replica lags far behind if it cannot become fresh within this time. */
    private static final long CATCH_UP_HORIZON_MICROS = MICROS_PER_SECOND;

    private final HealthChecker checker;
    private final FleetActivity activity;
    private final ResponseRecency recency;
    private final ReplicaFreshness freshness;
    private final LoadShedder loadShedder;
    private final WeightedSelection weightedSelection;
    private final PrimaryReadFallback primaryFallback;

    HealthCheckScheduler(
            HealthChecker checker,
            FleetActivity activity,
            ResponseRecency recency,
            ReplicaFreshness freshness,
            LoadShedder loadShedder,
            WeightedSelection weightedSelection,
            PrimaryReadFallback primaryFallback) {
        this.checker = checker;
        this.activity = activity;
        this.recency = recency;
        this.freshness = freshness;
        this.loadShedder = loadShedder;
        this.weightedSelection = weightedSelection;
        this.primaryFallback = primaryFallback;
    }

    /** Starts the health checks that the group's queued requests need. */
    void checkForQueued(EndpointGroup group, long now, RoutingActions actions) {
        if (!checker.isEnabled()) {
            return;
        }
        for (ArrayDeque<PendingRequest> queue : group.queues()) {
            for (PendingRequest request : queue) {
                if (request.needsPrimary()) {
                    checkPrimary(group, now, actions);
                    break;
                }
                checkReplica(request, now, actions);
            }
        }
    }

    private void checkPrimary(EndpointGroup group, long now, RoutingActions actions) {
        EndpointState primary = group.primary();
        boolean primaryMayHaveChanged = primary == null
                || !primary.isHealthy(now)
                || primary.health().isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now);
        for (EndpointState endpoint : group.endpoints()) {
            boolean isPrimaryToVerify = endpoint == primary && !recency.hasRecentResponse(endpoint, now);
            if ((primaryMayHaveChanged || isPrimaryToVerify) && checker.mayCheck(endpoint, now)) {
                checker.check(endpoint, now, actions);
            }
        }
    }

    private void checkReplica(PendingRequest request, long now, RoutingActions actions) {
        if (isReplicaExpectedToServe(request, now)) {
            return;
        }
        EndpointState replica = weightedSelection.selectReplica(
                request, endpoint -> checker.mayCheck(endpoint, now) && isUsefulToCheck(endpoint, request, now), now);
        if (replica != null) {
            checker.check(replica, now, actions);
            return;
        }
        EndpointState primary = request.group().primary();
        if (primary != null
                && !primary.load().isRecent(now)
                && checker.mayCheck(primary, now)
                && primaryFallback.isLimitedByCapacity(request, now)) {
            checker.check(primary, now, actions);
        }
    }

    /** Whether some replica can serve the request, or has a health check in flight that has not timed out. */
    private boolean isReplicaExpectedToServe(PendingRequest request, long now) {
        for (EndpointState endpoint : request.group().endpoints()) {
            if (endpoint != request.group().primary()
                    && endpoint.isAvailable()
                    && (canServe(endpoint, request, now) || isBeingChecked(endpoint, now))) {
                return true;
            }
        }
        return false;
    }

    private boolean canServe(EndpointState endpoint, PendingRequest request, long now) {
        return endpoint.isHealthy(now)
                && recency.hasRecentResponse(endpoint, now)
                && freshness.isFresh(endpoint, request, now)
                && loadShedder.canRespondInTime(endpoint, request, now);
    }

    private static boolean isBeingChecked(EndpointState endpoint, long now) {
        HealthStatus health = endpoint.health();
        return health.isHealthCheckInFlight() && !health.isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now);
    }

    /**
     * Whether a health check of the endpoint may show that it can serve the request. A replica that is unresponsive or
     * lags far behind is checked at the long interval only.
     */
    private boolean isUsefulToCheck(EndpointState endpoint, PendingRequest request, long now) {
        HealthStatus health = endpoint.health();
        boolean mayRelease = activity.endpointsReportLoad()
                || !recency.hasRecentResponse(endpoint, now)
                || !freshness.isFresh(endpoint, request, now);
        boolean longIntervalElapsed =
                now - health.lastHealthCheckAt() > checker.scaleByCost(LONG_CHECK_INTERVAL_MICROS);
        if (!mayRelease || longIntervalElapsed) {
            return mayRelease;
        }
        return !health.isUnresponsive(HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS, now)
                && freshness.mayBeFreshWithin(CATCH_UP_HORIZON_MICROS, endpoint, request, now);
    }
}
