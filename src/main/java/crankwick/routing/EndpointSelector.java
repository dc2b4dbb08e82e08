package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;

/** Selects the endpoint of an attempt: the primary for writes and strong reads, a replica for other reads. */
final class EndpointSelector {
    /** An endpoint whose role is older than this may have become primary. */
    private static final long ROLE_MEMORY_MICROS = 2 * MICROS_PER_SECOND;

    private final StaleReadPolicy staleReadPolicy;
    private final EndpointEligibility eligibility;
    private final ReplicaFreshness freshness;
    private final WeightedSelection weightedSelection;
    private final PrimaryReadFallback primaryFallback;

    EndpointSelector(
            StaleReadPolicy staleReadPolicy,
            EndpointEligibility eligibility,
            ReplicaFreshness freshness,
            WeightedSelection weightedSelection,
            PrimaryReadFallback primaryFallback) {
        this.staleReadPolicy = staleReadPolicy;
        this.eligibility = eligibility;
        this.freshness = freshness;
        this.weightedSelection = weightedSelection;
        this.primaryFallback = primaryFallback;
    }

    /** Selects the endpoint for the request's next attempt, or null if it has to wait. */
    EndpointState select(PendingRequest request, long now) {
        return request.needsPrimary() ? selectPrimary(request, now) : selectForRead(request, now);
    }

    private EndpointState selectForRead(PendingRequest request, long now) {
        EndpointState replica = weightedSelection.selectReplica(
                request,
                endpoint -> freshness.isFresh(endpoint, request, now) && eligibility.mayReceive(endpoint, request, now),
                now);
        if (replica == null && staleReadPolicy != StaleReadPolicy.SERVE) {
            replica = weightedSelection.selectReplica(
                    request,
                    endpoint -> freshness.mayBeFresh(endpoint, request, now)
                            && eligibility.mayReceive(endpoint, request, now),
                    now);
        }
        return replica == null && primaryFallback.mayReadFromPrimary(request, now)
                ? selectPrimary(request, now)
                : replica;
    }

    /** Selects the primary; while it is unknown, one write at a time tries each other endpoint once. */
    private EndpointState selectPrimary(PendingRequest request, long now) {
        EndpointGroup group = request.group();
        EndpointState primary = group.primary();
        if (primary != null) {
            return eligibility.mayReceive(primary, request, now) ? primary : null;
        }
        return group.maySeekPrimary(request) && request.isWrite() ? seekPrimary(request, now) : null;
    }

    private EndpointState seekPrimary(PendingRequest request, long now) {
        for (EndpointState endpoint : request.group().endpoints()) {
            boolean mayBePrimary = endpoint.role() == Role.UNKNOWN || now - endpoint.roleAsOf() > ROLE_MEMORY_MICROS;
            if (mayBePrimary && eligibility.mayReceive(endpoint, request, now) && !request.hasAttempted(endpoint)) {
                request.group().startSeekingPrimary(request);
                return endpoint;
            }
        }
        return null;
    }
}
