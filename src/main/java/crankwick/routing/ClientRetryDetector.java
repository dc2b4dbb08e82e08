package crankwick.routing;

import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects client retries and estimates when the client sent the first attempt. A request whose timeout differs from
 * the first-attempt timeout of its class counts as a retry, and its latency objective starts at the first attempt.
 * This avoids work for retries that can no longer meet the objective. It may misjudge first attempts as retries
 * if the timeouts of clients differ.
 */
final class ClientRetryDetector {
    /** A timeout below this fraction of the latency objective is a short client timeout, not the sign of a retry. */
    private static final double SHORT_TIMEOUT_FRACTION = 0.65;

    /** One estimator per request class. */
    private final List<ClientTimeoutEstimator> firstAttemptTimeouts = new ArrayList<>();

    ClientRetryDetector(int requestClasses) {
        for (int i = 0; i < requestClasses; i++) {
            firstAttemptTimeouts.add(new ClientTimeoutEstimator(PendingRequest.RESPONSE_MARGIN_MICROS));
        }
    }

    /**
     * Returns the estimated time at which the client sent its first attempt of the request. A timeout that is not short
     * also enters the estimate of the first-attempt timeout of the request's class.
     */
    long firstSentAt(RoutingRequest request, RequestClass requestClass, long now) {
        long timeout = request.expiresAt() - now;
        if (timeout < SHORT_TIMEOUT_FRACTION * requestClass.latencyObjective()) {
            return now;
        }
        boolean isFirst = firstAttemptTimeouts.get(request.classIndex()).isFirstAttempt(timeout);
        return isFirst ? now : Math.min(now, request.expiresAt() - requestClass.deadline());
    }
}
