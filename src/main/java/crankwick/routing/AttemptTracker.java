package crankwick.routing;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RoutingActions;
import java.util.SplittableRandom;

/**
 * Starts attempts and monitors those of idempotent requests that run long: health-checks the endpoint of such an
 * attempt, or cancels the attempt so that the request is retried at another endpoint. Does not monitor attempts if the
 * settings do not allow health checks.
 */
final class AttemptTracker {
    /** An attempt is first checked for running long when it takes this multiple of its expected duration. */
    private static final double LONG_RUNNING_FACTOR = 2.5;
    /**
     * Added to {@link #LONG_RUNNING_FACTOR} for each factor of e by which the cost of a health check exceeds the
     * reference cost. A logarithmic increase is enough because the number of attempts falls exponentially with their
     * duration.
     */
    private static final double LONG_RUNNING_COST_FACTOR = 2;
    /**
     * An attempt at an endpoint that is idle by its recent load report counts as lost when it takes longer than this
     * multiple of its expected duration.
     */
    private static final double LOST_ATTEMPT_FACTOR = 5;

    private final HealthChecker checker;
    private final LatencyEstimates latency;
    private final RetryPolicy retryPolicy;
    private final FleetActivity activity;
    private final SplittableRandom random;
    private final double longRunningFactor;

    AttemptTracker(
            HealthChecker checker,
            LatencyEstimates latency,
            RetryPolicy retryPolicy,
            FleetActivity activity,
            SplittableRandom random,
            double healthCheckCostFactor) {
        this.checker = checker;
        this.latency = latency;
        this.retryPolicy = retryPolicy;
        this.activity = activity;
        this.random = random;
        longRunningFactor = LONG_RUNNING_FACTOR + LONG_RUNNING_COST_FACTOR * Math.log(healthCheckCostFactor);
    }

    /** Sends an attempt of the request to the endpoint. */
    void start(PendingRequest request, EndpointState endpoint, long now, RoutingActions actions) {
        request.startAttempt(endpoint, firstCheckAt(request, endpoint, now), now);
        endpoint.concurrency().startAttempt(now);
        endpoint.slowStart().spendCredit();
        activity.recordAttempt(now);
        if (endpoint.outlier().isEjected()) {
            endpoint.outlier().eject(now, random);
        }
        actions.send(request.id(), endpoint.id(), AbsentValue.NONE);
    }

    private long firstCheckAt(PendingRequest request, EndpointState endpoint, long now) {
        return request.isIdempotent() && checker.isEnabled()
                ? now
                        + (long) (longRunningFactor
                                * latency.typicalDuration(request)
                                * latency.expectedRatio(endpoint, now))
                : Long.MAX_VALUE;
    }

    /** Checks the group's attempts whose next check is due. */
    void checkLongRunningAttempts(EndpointGroup group, long now, RoutingActions actions) {
        for (PendingRequest request : group.inFlight().values()) {
            if (request.nextCheckAt() <= now && !request.isClosed()) {
                request.scheduleCheck(now + HealthStatus.HEALTH_CHECK_TIMEOUT_MICROS);
                checkAttempt(request, now, actions);
            }
        }
    }

    private void checkAttempt(PendingRequest request, long now, RoutingActions actions) {
        EndpointState endpoint = request.endpoint();
        HealthStatus health = endpoint.health();
        if (health.isUnresponsive(HealthStatus.UNHEALTHY_AFTER_MICROS, now) || isProbablyLost(request, now)) {
            if (retryPolicy.mayCancelAndRetry(request, now)) {
                request.scheduleCheck(Long.MAX_VALUE);
                actions.cancelAttempt(request.id(), request.attempts() - 1);
            }
        } else if (now - health.lastResponseAt() > HealthStatus.UNHEALTHY_AFTER_MICROS
                && checker.mayCheck(endpoint, now)) {
            checker.check(endpoint, now, actions);
        }
    }

    /**
     * Whether the attempt is overdue although a recent load report shows that its endpoint has no queue and is not
     * saturated, with enough time left for a useful retry.
     */
    private boolean isProbablyLost(PendingRequest request, long now) {
        EndpointState endpoint = request.endpoint();
        double expectedRatio = Math.max(latency.expectedRatio(endpoint, now), latency.roleRatio(endpoint.role(), now));
        boolean isOverdue =
                now - request.attemptSentAt() > LOST_ATTEMPT_FACTOR * latency.typicalDuration(request) * expectedRatio;
        return isOverdue
                && now + latency.baselineDuration(request) < request.lastUsefulAt()
                && endpoint.load().isIdle(LoadShedder.SATURATED_UTILIZATION, now);
    }
}
