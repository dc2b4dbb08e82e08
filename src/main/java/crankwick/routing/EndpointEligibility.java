package crankwick.routing;

/** Decides whether an endpoint may be sent a request now. */
final class EndpointEligibility {
    private final ResponseRecency recency;
    private final RetryPolicy retryPolicy;
    private final SlowStartBudget slowStartBudget;
    private final LatencyEstimates latency;
    private final LoadShedder loadShedder;

    EndpointEligibility(
            ResponseRecency recency,
            RetryPolicy retryPolicy,
            SlowStartBudget slowStartBudget,
            LatencyEstimates latency,
            LoadShedder loadShedder) {
        this.recency = recency;
        this.retryPolicy = retryPolicy;
        this.slowStartBudget = slowStartBudget;
        this.latency = latency;
        this.loadShedder = loadShedder;
    }

    /** Whether the endpoint may be sent the request. Also updates the credit of an endpoint in slow start. */
    boolean mayReceive(EndpointState endpoint, PendingRequest request, long now) {
        return endpoint.isAvailable()
                && (!endpoint.outlier().isEjected() || mayReceiveTrial(endpoint, now))
                && recency.hasRecentResponse(endpoint, now)
                && retryPolicy.isSafeToExecuteAt(request, endpoint, now)
                && hasCapacity(endpoint, request, now)
                && loadShedder.canRespondInTime(endpoint, request, now);
    }

    private static boolean mayReceiveTrial(EndpointState endpoint, long now) {
        return endpoint.outlier().allowsTrial(now) && endpoint.concurrency().inFlight() == 0;
    }

    private boolean hasCapacity(EndpointState endpoint, PendingRequest request, long now) {
        ConcurrencyLimit concurrency = endpoint.concurrency();
        double capacityFraction = endpoint.slowStart().capacityFraction(now);
        return concurrency.allowsConcurrent(capacityFraction)
                && (capacityFraction >= 1 || slowStartBudget.allowsAttempt(endpoint, now))
                && concurrency.allowsRate(latency.observedDuration(endpoint, request, now), now);
    }
}
