package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingSettings;
import java.util.HashMap;
import java.util.Map;

/** The requests that need a primary: their admission, attempts and ends, and the room that they take in buffers. */
final class RequestTracker {
    /** A final answer is given this long before the caller's deadline. */
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

    /** A tracked request; null if it needs no primary or is over. */
    TrackedRequest find(long requestId) {
        return tracked.get(requestId);
    }

    /** Requests that are buffered now, over all groups. */
    int buffered() {
        return buffered;
    }

    /** Decides on a request that has been received. */
    FailoverAdmission admit(IncomingRequest arrival, long now) {
        RequestClass requestClass = routing.requestClasses().get(arrival.classIndex());
        GroupState group = groups.group(arrival.groupId());
        if (group == null || !needsPrimary(requestClass)) {
            return FailoverAdmission.ADMIT;
        }
        TrackedRequest request = newRequest(arrival, requestClass, group, now);
        if (request.isKeyed()) {
            keys.lookUp(request, now);
            if (keys.isExpired(request, now)) {
                counters.retriesFailed++;
                return FailoverAdmission.FAIL;
            }
        }
        if (group.isLeaderless() && !isRecoveryLikely(request, now)) {
            counters.recoveryUnlikely++;
            return denial(request);
        }
        // A leaderless group gets one request, for which the router looks for the new leader.
        boolean wait =
                group.isLeaderless() ? group.hasReleased() : group.buffer().size() > 0;
        return wait ? buffer(request) : release(request);
    }

    private static boolean needsPrimary(RequestClass requestClass) {
        return requestClass.consistency() == ConsistencyLevel.WRITE
                || requestClass.consistency() == ConsistencyLevel.STRONG;
    }

    private TrackedRequest newRequest(IncomingRequest arrival, RequestClass requestClass, GroupState group, long now) {
        long latest = arrival.expiresAt() - ANSWER_MARGIN_MICROS;
        long usefulUntil =
                requestClass.lateWeight() > 0 ? latest : Math.min(latest, now + requestClass.latencyObjective());
        long keyHash = TrackedRequest.isKeyed(requestClass, arrival.idempotencyKey())
                ? keys.hash(arrival.groupId(), arrival.idempotencyKey())
                : 0;
        return new TrackedRequest(arrival, requestClass, group, keyHash, usefulUntil);
    }

    private FailoverAdmission buffer(TrackedRequest request) {
        IncomingRequest arrival = request.arrival();
        RequestBuffer.BufferedRequest entry = new RequestBuffer.BufferedRequest(
                arrival.requestId(),
                arrival.team(),
                request.requestClass().priorityWeight(),
                request.usefulUntil(),
                arrival.statementBytes());
        if (!request.group().buffer().add(entry)) {
            counters.limitExceeded++;
            return denial(request);
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

    /** The answer to a request that is not admitted must not say that it has not executed where that is unknown. */
    private static FailoverAdmission denial(TrackedRequest request) {
        return request.hasUnknownOutcome() ? FailoverAdmission.FAIL : FailoverAdmission.REJECT;
    }

    /** True if the group is likely enough to have a leader in time for the request. */
    boolean isRecoveryLikely(TrackedRequest request, long now) {
        GroupState group = request.group();
        double probability = group.durations()
                .successProbability(now - group.leadership().leaderlessSince(), keys.usefulUntil(request) - now);
        return probability >= settings.minSuccessProbability();
    }

    /** Decides whether an attempt may be sent; if so, it counts as sent now. */
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

    /** An attempt has ended. */
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

    /** A request has its final answer, or its caller has left. */
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

    /** A buffered request goes to the router; {@code paced} if the group's release window counts it. */
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
