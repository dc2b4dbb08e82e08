package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;

/**
 * Selects the endpoint of an attempt: the primary for writes and strong reads, otherwise a replica or, as a
 * fallback, the primary.
 */
final class EndpointSelector {
    /** An endpoint whose role was last reported longer ago than this may have become primary. */
    private static final long ROLE_VALIDITY_MICROS = 2 * MICROS_PER_SECOND;

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

    /** Selects the endpoint for the request's next attempt, or null if the request has to stay queued. */
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

    /**
     * Selects the primary. While the primary is unknown, one write at a time is sent to each possible primary in turn,
     * once to each.
     */
    private EndpointState selectPrimary(PendingRequest request, long now) {
        EndpointGroup group = request.group();
        EndpointState primary = group.primary();
        if (primary != null) {
            return eligibility.mayReceive(primary, request, now) ? primary : null;
        }
        return group.mayProbeForPrimary(request) && request.isWrite() ? probeForPrimary(request, now) : null;
    }

    private EndpointState probeForPrimary(PendingRequest request, long now) {
        for (EndpointState endpoint : request.group().endpoints()) {
            boolean mayBePrimary = endpoint.role() == Role.UNKNOWN || now - endpoint.roleAsOf() > ROLE_VALIDITY_MICROS;
            if (mayBePrimary && eligibility.mayReceive(endpoint, request, now) && !request.hasAttempted(endpoint)) {
                request.group().startPrimaryProbe(request);
                return endpoint;
            }
        }
        return null;
    }
}
