package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.GiveUpCause;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingLimits;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The requests that have no final answer or still have an attempt in flight. Rejects or fails those that are not
 * served.
 */
final class OpenRequests {
    /** Retry-After if the group has no available endpoint; short, as another proxy may know one. */
    private static final long NO_ENDPOINT_RETRY_AFTER_MICROS = 80 * MICROS_PER_MILLI;
    /** Retry-After as a multiple of the latency objective, if the group has an available endpoint. */
    private static final long RETRY_AFTER_OBJECTIVE_MULTIPLE = 2;

    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final RoutingLimits limits;
    private final RetryPolicy retryPolicy;
    private final SplittableRandom random;

    OpenRequests(RoutingLimits limits, RetryPolicy retryPolicy, SplittableRandom random) {
        this.limits = limits;
        this.retryPolicy = retryPolicy;
        this.random = random;
    }

    /** Returns the request with this identifier, or null. */
    PendingRequest find(long id) {
        return requests.get(id);
    }

    /** Adds a new request and queues it. */
    void add(PendingRequest request) {
        requests.put(request.id(), request);
        enqueue(request);
    }

    /**
     * Adds the request at the front of its queue, so that the newest is served first: under overload, oldest first
     * would make every response late.
     */
    private static void enqueue(PendingRequest request) {
        request.group().queue(request.classIndex()).addFirst(request);
    }

    /** Requeues the request after an attempt that did not answer it, or rejects or fails it if no retry is allowed. */
    void retryOrFinish(
            PendingRequest request, EndpointState attempted, AttemptResult result, long now, RoutingActions actions) {
        request.addAttemptedEndpoint(attempted);
        request.group().endPrimaryProbe(request);
        if (retryPolicy.tryAcquireRetry(request, result, now)) {
            enqueue(request);
        } else {
            rejectOrFail(request, GiveUpCause.NO_RETRY, actions);
        }
    }

    /** Rejects the request if the client can safely retry it, otherwise fails it. */
    void rejectOrFail(PendingRequest request, GiveUpCause cause, RoutingActions actions) {
        actions.explainGiveUp(request.id(), cause);
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
                ? request.requestClass().latencyObjective() * RETRY_AFTER_OBJECTIVE_MULTIPLE
                : NO_ENDPOINT_RETRY_AFTER_MICROS;
    }

    /**
     * Closes an answered or abandoned request. It is removed at once unless an attempt is in flight; null is
     * ignored.
     */
    void close(PendingRequest request) {
        if (request == null) {
            return;
        }
        request.markClosed();
        request.group().endPrimaryProbe(request);
        if (request.endpoint() == null) {
            requests.remove(request.id());
        }
    }
}
