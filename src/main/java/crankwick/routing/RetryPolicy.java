package crankwick.routing;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingLimits;

/** Which requests may be retried and where, within a retry budget that requests earn. */
final class RetryPolicy {
    private static final double RETRIES_PER_REQUEST = 0.25;
    private static final double MAX_SAVED_RETRIES = 30;

    private final RoutingLimits limits;
    private double budget = MAX_SAVED_RETRIES;

    RetryPolicy(RoutingLimits limits) {
        this.limits = limits;
    }

    void earnForRequest() {
        budget = Math.min(MAX_SAVED_RETRIES, budget + RETRIES_PER_REQUEST);
    }

    /** Whether the request may be rejected, as the client's own retry can do no harm. */
    boolean isSafeToReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        return request.isIdempotent()
                || request.possiblyExecutedAt() == null
                || requestClass.idempotency() == Idempotency.WITH_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.FLEET;
    }

    /** Whether the request can do no harm at the endpoint, even if an earlier attempt was executed. */
    boolean isSafeToExecuteAt(PendingRequest request, EndpointState endpoint, long now) {
        return request.possiblyExecutedAt() == null || request.isIdempotent() || isDeduplicated(request, endpoint, now);
    }

    private static boolean isDeduplicated(PendingRequest request, EndpointState endpoint, long now) {
        RequestClass requestClass = request.requestClass();
        return requestClass.idempotency() == Idempotency.WITH_KEY
                && now - request.possiblyExecutedSince() < requestClass.keyTtl()
                && (requestClass.deduplicationScope() != DeduplicationScope.ZONE
                        || endpoint.zone() == request.possiblyExecutedAt().zone());
    }

    private boolean mayRetry(PendingRequest request, long now) {
        return request.attempts() < limits.maxAttempts()
                && now < request.expiresAt() - PendingRequest.RESPONSE_MARGIN_MICROS
                && isSafeToExecuteAt(request, request.possiblyExecutedAt(), now);
    }

    /** Whether the attempt in flight may be cancelled, to be retried once it has ended. */
    boolean mayCancelAndRetry(PendingRequest request, long now) {
        return limits.cancellationAllowed() && mayRetry(request, now) && budget >= 1;
    }

    /** Takes a retry after an attempt with this result from the budget; false if the request may have none. */
    boolean tryRetry(PendingRequest request, AttemptResult result, long now) {
        int cost = isFree(result) ? 0 : 1;
        if (!mayRetry(request, now) || budget < cost) {
            return false;
        }
        budget -= cost;
        return true;
    }

    private static boolean isFree(AttemptResult result) {
        return result == AttemptResult.INELIGIBLE_REPLICA || result == AttemptResult.STALE_CONNECTION;
    }
}
