package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingLimits;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The requests that are not finished, and the answers of those that the router itself finishes. */
final class OpenRequests {
    /** Retry-After of a proxy that knows no endpoint of the group: another proxy may know one. */
    private static final long NO_ENDPOINT_RETRY_AFTER_MICROS = 80 * MICROS_PER_MILLI;
    /** Retry-After as a multiple of the latency objective. */
    private static final long RETRY_AFTER_OBJECTIVES = 2;

    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final RoutingLimits limits;
    private final RetryPolicy retryPolicy;
    private final SplittableRandom random;

    OpenRequests(RoutingLimits limits, RetryPolicy retryPolicy, SplittableRandom random) {
        this.limits = limits;
        this.retryPolicy = retryPolicy;
        this.random = random;
    }

    /** The request with this identifier, or null. */
    PendingRequest find(long id) {
        return requests.get(id);
    }

    /** Adds a request to its queue. */
    void add(PendingRequest request) {
        requests.put(request.id(), request);
        enqueue(request);
    }

    /** The newest first: under overload, serving the oldest first would make each late. */
    private static void enqueue(PendingRequest request) {
        request.group().queue(request.classIndex()).addFirst(request);
    }

    /** Queues the request again after an attempt without an answer, or finishes it if it may not be retried. */
    void retryOrFinish(
            PendingRequest request, EndpointState attempted, AttemptResult result, long now, RoutingActions actions) {
        request.addAttempted(attempted);
        request.group().stopSeekingPrimary(request);
        if (retryPolicy.tryRetry(request, result, now)) {
            enqueue(request);
        } else {
            finishUnserved(request, actions);
        }
    }

    /** Rejects the request if a retry by the client is harmless, and fails it otherwise. */
    void finishUnserved(PendingRequest request, RoutingActions actions) {
        if (retryPolicy.isSafeToReject(request)) {
            long retryAfter = Math.min(limits.maxRetryAfter(), Jitter.apply(retryAfter(request), random));
            actions.reject(request.id(), limits.retryAfterSupported() ? retryAfter : 0);
        } else {
            actions.fail(request.id());
        }
        close(request);
    }

    private static long retryAfter(PendingRequest request) {
        return request.group().hasAvailableEndpoint()
                ? request.requestClass().latencyObjective() * RETRY_AFTER_OBJECTIVES
                : NO_ENDPOINT_RETRY_AFTER_MICROS;
    }

    /** Closes an answered or abandoned request, which is kept only while an attempt is in flight; null is ignored. */
    void close(PendingRequest request) {
        if (request == null) {
            return;
        }
        request.markClosed();
        request.group().stopSeekingPrimary(request);
        if (request.endpoint() == null) {
            requests.remove(request.id());
        }
    }
}
