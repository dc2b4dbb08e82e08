package crankwick.routing;

import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * Estimates when a client first sent a request, of which this one may be a retry. Requests whose timeout is
 * not that of first attempts are retries, and their latency objective counts from the first one. It guards
 * against work for retries that can only come too late; it may hurt where clients' timeouts differ.
 */
final class ClientRetryDetector {
    /** A client with less than this fraction of the objective left has a short timeout; it is no retry. */
    private static final double SHORT_TIMEOUT_FRACTION = 0.65;

    /** One estimator per request class. */
    private final List<ClientTimeoutEstimator> firstAttemptTimeouts = new ArrayList<>();

    ClientRetryDetector(int requestClasses) {
        for (int i = 0; i < requestClasses; i++) {
            firstAttemptTimeouts.add(new ClientTimeoutEstimator(PendingRequest.RESPONSE_MARGIN_MICROS));
        }
    }

    /** Records the request's timeout and returns when its first attempt was sent. */
    long firstSentAt(RoutingRequest request, RequestClass requestClass, long now) {
        long timeout = request.expiresAt() - now;
        if (timeout < SHORT_TIMEOUT_FRACTION * requestClass.latencyObjective()) {
            return now;
        }
        boolean isFirst = firstAttemptTimeouts.get(request.classIndex()).isFirstAttempt(timeout);
        return isFirst ? now : Math.min(now, request.expiresAt() - requestClass.deadline());
    }
}
