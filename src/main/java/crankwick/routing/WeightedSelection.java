package crankwick.routing;

import crankwick.routing.api.RoutingSettings;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** Weighted random selection among the replicas of a group. */
final class WeightedSelection {
    /**
     * The weight of a replica falls with this power of its cost; with an exponent of 1, the queue lengths of replicas
     * differ too much.
     */
    private static final double COST_EXPONENT = 2;
    /** Converts the cross-zone cost of the settings to an increase of the selection cost. */
    private static final double CROSS_ZONE_PENALTY = 50;
    /** The weight of an endpoint to which the request has already been sent is multiplied by this. */
    private static final double RETRY_PENALTY = 0.01;
    /** Added to each weight to keep it positive. */
    private static final double MIN_WEIGHT = 1e-12;

    private final RoutingSettings settings;
    private final LatencyEstimates latency;
    private final SplittableRandom random;

    WeightedSelection(RoutingSettings settings, LatencyEstimates latency, SplittableRandom random) {
        this.settings = settings;
        this.latency = latency;
        this.random = random;
    }

    /** Selects an eligible replica of the group, or null; consumes one random number per eligible replica. */
    EndpointState selectReplica(PendingRequest request, Predicate<EndpointState> eligible, long now) {
        EndpointState selected = null;
        double total = 0;
        for (EndpointState endpoint : request.group().endpoints()) {
            if (request.group().isReplica(endpoint) && eligible.test(endpoint)) {
                double weight = weight(endpoint, now) * (request.hasAttempted(endpoint) ? RETRY_PENALTY : 1);
                total += weight;
                selected = random.nextDouble() * total < weight ? endpoint : selected;
            }
        }
        return selected;
    }

    private double weight(EndpointState endpoint, long now) {
        double cost = latency.expectedRatio(endpoint, now)
                * (endpoint.concurrency().inFlight() + 1)
                / endpoint.slowStart().capacityFraction(now);
        if (endpoint.zone() != settings.zone()) {
            cost *= 1 + CROSS_ZONE_PENALTY * settings.costs().crossZone();
        }
        double reliability = endpoint.outlier().reliability(now);
        return Math.pow(cost, -COST_EXPONENT) * reliability * reliability + MIN_WEIGHT;
    }
}
