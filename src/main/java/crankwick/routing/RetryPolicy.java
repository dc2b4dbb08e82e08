package crankwick.routing;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingLimits;

/** Decides which requests may be retried and where. Each request adds to a retry budget, most retries take from it. */
final class RetryPolicy {
    private static final double RETRIES_PER_REQUEST = 0.25;
    private static final double MAX_RETRY_BALANCE = 30;

    private final RoutingLimits limits;
    private double balance = MAX_RETRY_BALANCE;

    RetryPolicy(RoutingLimits limits) {
        this.limits = limits;
    }

    void depositForRequest() {
        balance = Math.min(MAX_RETRY_BALANCE, balance + RETRIES_PER_REQUEST);
    }

    /** Whether the request may be rejected, which requires that a retry by the client is harmless. */
    boolean isSafeToReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return request.isIdempotent()
                || request.possibleExecutionEndpoint() == null
                || requestClass.idempotency() == Idempotency.WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.FLEET;
    }

    /** Whether executing the request at the endpoint is harmless even if an earlier attempt was executed. */
    boolean isSafeToExecuteAt(PendingRequest request, EndpointState endpoint, long now) {
        return request.possibleExecutionEndpoint() == null
                || request.isIdempotent()
                || isDeduplicated(request, endpoint, now);
    }

    private static boolean isDeduplicated(PendingRequest request, EndpointState endpoint, long now) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.WITH_KEY
                && now - request.possibleExecutionSince() < requestClass.keyTtl()
                && (requestClass.deduplicationScope() != DeduplicationScope.ZONE
                        || endpoint.zone()
                                == request.possibleExecutionEndpoint().zone());
    }

    private boolean mayRetry(PendingRequest request, long now) {
        return request.attempts() < limits.maxAttempts()
                && now < request.expiresAt() - PendingRequest.RESPONSE_MARGIN_MICROS
                && isSafeToExecuteAt(request, request.possibleExecutionEndpoint(), now);
    }

    /** Whether the attempt in flight may be cancelled and the request retried when the attempt has ended. */
    boolean mayCancelAndRetry(PendingRequest request, long now) {
        return limits.cancellationAllowed() && mayRetry(request, now) && balance >= 1;
    }

    /**
     * Returns whether the request may be retried now, after an attempt with this result, and if so takes the retry
     * from the budget. Results that are exempt from the budget take nothing.
     */
    boolean tryAcquireRetry(PendingRequest request, AttemptResult result, long now) {
        int cost = isExemptFromBudget(result) ? 0 : 1;
        if (!mayRetry(request, now) || balance < cost) {
            return false;
        }
        balance -= cost;
        return true;
    }

    private static boolean isExemptFromBudget(AttemptResult result) {
        return result == AttemptResult.INELIGIBLE_REPLICA || result == AttemptResult.STALE_CONNECTION;
    }
}
