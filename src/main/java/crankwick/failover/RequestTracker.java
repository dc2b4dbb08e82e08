package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingSettings;
import java.util.HashMap;
import java.util.Map;

/** Tracks the requests that need a primary: their admission, buffering, attempts and completion. */
final class RequestTracker {
    /** The final reply is due this long before the client's deadline. */
    private static final long ANSWER_MARGIN_MICROS = 30_000;

    private final FailoverSettings settings;
    private final RoutingSettings routing;
    private final GroupRegistry groups;
    private final KeyWindows keys;
    private final FailoverCounters counters;
    private final Map<Long, TrackedRequest> tracked = new HashMap<>();
    private int buffered;

    RequestTracker(
            FailoverSettings settings,
            RoutingSettings routing,
            GroupRegistry groups,
            KeyWindows keys,
            FailoverCounters counters) {
        this.settings = settings;
        this.routing = routing;
        this.groups = groups;
        this.keys = keys;
        this.counters = counters;
    }

    /**
     * Returns a tracked request, or null if the request is not tracked: it needs no primary, its group was unknown, or
     * it was denied admission or is finished.
     */
    TrackedRequest find(long requestId) {
        return tracked.get(requestId);
    }

    /** Returns the number of buffered requests over all groups. */
    int buffered() {
        return buffered;
    }

    /** Decides whether a received request is routed, buffered, rejected or failed. */
    FailoverAdmission admit(IncomingRequest incomingRequest, long now) {
        RequestClass requestClass = routing.requestClasses().get(incomingRequest.classIndex());
        GroupState group = groups.group(incomingRequest.groupId());
        if (group == null || !needsPrimary(requestClass)) {
            return FailoverAdmission.ADMIT;
        }
        TrackedRequest request = newRequest(incomingRequest, requestClass, group, now);
        if (request.isKeyed()) {
            keys.lookUpKey(request, now);
            if (keys.isExpired(request, now)) {
                counters.retriesFailed++;
                return FailoverAdmission.FAIL;
            }
        }
        if (group.isLeaderless() && !isRecoveryLikely(request, now)) {
            counters.recoveryUnlikely++;
            return rejectionOrFailure(request);
        }
        // In a leaderless group one request at a time is admitted, for which the router searches for the new leader.
        boolean mustBuffer =
                group.isLeaderless() ? group.hasReleased() : group.buffer().size() > 0;
        return mustBuffer ? buffer(request) : release(request);
    }

    private static boolean needsPrimary(RequestClass requestClass) {
        return requestClass.consistency() == ConsistencyLevel.WRITE
                || requestClass.consistency() == ConsistencyLevel.STRONG;
    }

    private TrackedRequest newRequest(
            IncomingRequest incomingRequest, RequestClass requestClass, GroupState group, long now) {
        long latestAnswerAt = incomingRequest.expiresAt() - ANSWER_MARGIN_MICROS;
        long releaseDeadline = requestClass.lateWeight() > 0
                ? latestAnswerAt
                : Math.min(latestAnswerAt, now + requestClass.latencyObjective());
        long keyHash = TrackedRequest.isKeyed(requestClass, incomingRequest.idempotencyKey())
                ? keys.hash(incomingRequest.groupId(), incomingRequest.idempotencyKey())
                : 0;
        return new TrackedRequest(incomingRequest, requestClass, group, keyHash, releaseDeadline);
    }

    private FailoverAdmission buffer(TrackedRequest request) {
        IncomingRequest incomingRequest = request.incomingRequest();
        RequestBuffer.BufferedRequest entry = new RequestBuffer.BufferedRequest(
                incomingRequest.requestId(),
                incomingRequest.team(),
                request.requestClass().priorityWeight(),
                request.releaseDeadline(),
                incomingRequest.statementBytes());
        if (!request.group().buffer().add(entry)) {
            counters.limitExceeded++;
            return rejectionOrFailure(request);
        }
        tracked.put(request.requestId(), request);
        request.buffer();
        counters.buffered++;
        counters.maxBuffered = Math.max(counters.maxBuffered, ++buffered);
        return FailoverAdmission.BUFFER;
    }

    private FailoverAdmission release(TrackedRequest request) {
        tracked.put(request.requestId(), request);
        request.release();
        request.group().addReleased(request);
        return FailoverAdmission.ADMIT;
    }

    /**
     * Returns FAIL if a request with the same key may have executed and a repeat may execute again, because a rejection
     * states that a retry is safe.
     */
    private static FailoverAdmission rejectionOrFailure(TrackedRequest request) {
        return request.hasUnknownOutcome() ? FailoverAdmission.FAIL : FailoverAdmission.REJECT;
    }

    /** Returns true if the probability of a new leader in time for the request reaches the configured minimum. */
    boolean isRecoveryLikely(TrackedRequest request, long now) {
        GroupState group = request.group();
        double probability = group.durations()
                .successProbability(now - group.leadership().leaderlessSince(), keys.releaseDeadline(request) - now);
        return probability >= settings.minSuccessProbability();
    }

    /**
     * Decides whether an attempt may be sent; a granted attempt counts as sent at {@code now}. Attempts of requests
     * that are not tracked are always granted.
     */
    AttemptPermit permitAttempt(long requestId, String endpointId, long now) {
        TrackedRequest request = tracked.get(requestId);
        if (request == null) {
            return AttemptPermit.GRANTED;
        }
        if (keys.isExpired(request, now)) {
            counters.keyWindowsExpired++;
            return AttemptPermit.KEY_EXPIRED;
        }
        if (!keys.recordAttempt(request, now)) {
            counters.limitExceeded++;
            return AttemptPermit.REGISTRY_FULL;
        }
        request.beginAttempt(endpointId);
        return AttemptPermit.GRANTED;
    }

    /**
     * Returns when databases stop discarding repeats of the request's key; {@code Long.MAX_VALUE} if the request is not
     * tracked or no request with its key may have executed.
     */
    long keyWindowEnd(long requestId) {
        TrackedRequest request = tracked.get(requestId);
        return request == null ? Long.MAX_VALUE : keys.windowEnd(request);
    }

    /** Handles the end of an attempt. */
    void onAttemptEnded(long requestId, AttemptResult result, long duration, long now) {
        TrackedRequest request = tracked.get(requestId);
        if (request == null || !request.isAttemptInFlight()) {
            return;
        }
        keys.recordResult(request, result, now);
        GroupState group = request.group();
        if (request.isPacedIn(group.leadership().term())) {
            group.releaseWindow()
                    .onAttemptEnded(result, duration, request.requestClass().latencyObjective());
        }
        request.endAttempt();
        removeIfFinished(request);
    }

    /** Handles the completion of a request: its final reply was sent, or its client has abandoned it. */
    void onRequestCompleted(long requestId) {
        TrackedRequest request = tracked.get(requestId);
        if (request != null) {
            boolean wasBuffered = request.isBuffered();
            request.answer();
            if (wasBuffered) {
                removeFromBuffer(request);
            }
            removeIfFinished(request);
        }
    }

    /**
     * Removes a request from the buffer and marks it as released; {@code paced} if it counts in the group's release
     * window.
     */
    void releaseBuffered(TrackedRequest request, boolean paced) {
        GroupState group = request.group();
        removeFromBuffer(request);
        group.addReleased(request);
        if (paced) {
            request.releasePaced(group.leadership().term());
            group.releaseWindow().acquire();
        } else {
            request.release();
        }
        counters.released++;
    }

    private void removeFromBuffer(TrackedRequest request) {
        request.group().buffer().remove(request.requestId());
        buffered--;
    }

    private void removeIfFinished(TrackedRequest request) {
        if (request.isFinished()) {
            tracked.remove(request.requestId());
            request.group().removeReleased(request);
            groups.removeIfUnused(request.group());
        }
    }
}
