package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import crankwick.broker.Reply;
import crankwick.model.ModelEffect;
import crankwick.routing.api.AttemptResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a run after every step, from outside: it sees the requests and replies of clients, what was sent to
 * databases, what the groups' logs hold, and the endpoints that the proxy was given; it asks the proxy nothing.
 *
 * <p>A write counts as reachable if it was open or came in while its group had no leader, its deadline lies
 * {@link #RECOVERY_MARGIN_MICROS} or more past the moment at which the group took writes again for at least that
 * long, and no attempt of it may have run at a time that puts the end of its key's TTL before that moment.
 * Writes to a new primary that is still warming up are counted apart.
 */
final class FailoverAudit {
    /** For finding the new primary and for the write itself. */
    static final long RECOVERY_MARGIN_MICROS = 250_000;

    /** The request id of a trace line about a key alone. */
    private static final long KEY_LINE = 0;

    private static final class AuditedKey {
        int timesApplied;
        boolean served;
    }

    /**
     * What the audit holds a run to; times in microseconds.
     *
     * @param replySlack how long past a request's deadline its reply may come
     * @param drainGrace how long an endpoint that is listed as draining may still be sent requests
     * @param keyTtl how long databases remember an idempotency key
     * @param maxReleased requests that may be released at once to a new primary
     */
    record Limits(long replySlack, long drainGrace, long keyTtl, int maxReleased) {}

    private final Limits limits;
    private final Map<Long, AuditedRequest> requests = new HashMap<>();
    private final Map<String, AuditedKey> keys = new HashMap<>();
    private final AuditedGroup[] groups;
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final AuditTrace trace = new AuditTrace();
    private final ViolationLog violations = new ViolationLog(trace, this::failovers);
    private final ReachableWrites reachableWrites = new ReachableWrites();
    private final Map<Reply.Reason, Long> reasons = new HashMap<>();
    private long failovers;
    private long served;
    private long rejected;
    private long failed;
    private long rejectedWrites;
    private long rejectionWaitMicros;

    FailoverAudit(int groups, Limits limits) {
        this.limits = limits;
        this.groups = new AuditedGroup[groups];
        for (int i = 0; i < groups; i++) {
            this.groups[i] = new AuditedGroup();
        }
    }

    /** Adds a line about a whole group to the trace. */
    void trace(long now, int group, String text) {
        trace.add(now, group, AuditTrace.WHOLE_GROUP, text);
    }

    // ---- Clients -------------------------------------------------------------------------------------

    void onRequest(long now, long requestId, int group, String key, long deadline) {
        AuditedRequest request = new AuditedRequest(requestId, group, key, now, deadline);
        requests.put(requestId, request);
        if (key != null) {
            trace.addKey(requestId, key);
            trace.add(now, group, requestId, "request with " + key);
            groups[group].open(request);
            keys.computeIfAbsent(key, k -> new AuditedKey());
        }
    }

    void onReply(long now, long requestId, Reply reply) {
        AuditedRequest request = requests.get(requestId);
        if (request == null || request.isAnswered()) {
            violations.add(
                    Violation.LATE_REPLY, now, request == null ? 0 : request.group(), requestId, "a second answer");
            return;
        }
        trace.add(now, request.group(), requestId, "answered " + reply);
        request.answer(reply instanceof Reply.Served);
        if (now > request.deadline() + limits.replySlack()) {
            violations.add(Violation.LATE_REPLY, now, request.group(), requestId, "answered late");
        }
        if (reply instanceof Reply.Served) {
            onServed(now, request);
        } else if (reply instanceof Reply.Rejected r) {
            onRejected(now, request, r);
        } else {
            failed++;
            reasons.merge(((Reply.Failed) reply).reason(), 1L, Long::sum);
        }
        countReachable(request);
        close(request);
    }

    private void onServed(long now, AuditedRequest request) {
        served++;
        AuditedKey key = request.isWrite() ? keys.get(request.idempotencyKey()) : null;
        if (key != null) {
            key.served = true;
            if (key.timesApplied != 1) {
                violations.add(
                        Violation.SERVED_NOT_APPLIED,
                        now,
                        request.group(),
                        request.requestId(),
                        "served, applied " + key.timesApplied + " times");
            }
        }
    }

    private void onRejected(long now, AuditedRequest request, Reply.Rejected reply) {
        rejected++;
        reasons.merge(reply.reason(), 1L, Long::sum);
        if (!request.isWrite()) {
            return;
        }
        rejectionWaitMicros += now - request.receivedAt();
        rejectedWrites++;
        if (request.mayHaveRun()) {
            violations.add(
                    Violation.REJECTED_IN_DOUBT,
                    now,
                    request.group(),
                    request.requestId(),
                    "rejected, and may have been executed");
        }
    }

    private void close(AuditedRequest request) {
        groups[request.group()].close(request);
        if (!request.isInFlight()) {
            requests.remove(request.requestId());
        }
    }

    List<AuditedRequest> openRequests() {
        return List.copyOf(requests.values()).stream()
                .filter(request -> !request.isAnswered())
                .toList();
    }

    // ---- The proxy -----------------------------------------------------------------------------------

    /** The proxy's process has ended: a new one does not know who serves writes. */
    void onProxyEnded() {
        for (AuditedGroup group : groups) {
            group.forgetServing();
        }
    }

    /** The proxy's process has ended under a request. */
    void onRequestLost(AuditedRequest request) {
        request.lose();
        close(request);
    }

    /** The proxy was given an endpoint. */
    void onListed(long now, String endpointId, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(endpointId, now);
        } else {
            drainingSince.remove(endpointId);
        }
    }

    /** So many buffered requests were released in the step that found a new leader. */
    void onReleased(long now, int count) {
        if (count > limits.maxReleased()) {
            violations.add(
                    Violation.RELEASED_TOO_MANY, now, 0, AuditTrace.WHOLE_GROUP, count + " requests released at once");
        }
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    void onAttemptSent(long now, long requestId, String endpointId) {
        AuditedRequest request = requests.get(requestId);
        if (request == null) {
            violations.add(Violation.CONCURRENT_ATTEMPTS, now, 0, requestId, "sent after its answer");
            return;
        }
        trace.add(now, request.group(), requestId, "sent to " + endpointId);
        checkAttempt(now, request, endpointId);
        request.startAttempt(endpointId, now);
    }

    private void checkAttempt(long now, AuditedRequest request, String endpointId) {
        int group = request.group();
        long requestId = request.requestId();
        if (request.isInFlight() || request.isAnswered()) {
            violations.add(Violation.CONCURRENT_ATTEMPTS, now, group, requestId, "a second attempt in flight");
        }
        if (request.isWrite() && request.isKeyExpired(limits.keyTtl(), now)) {
            violations.add(Violation.RETRIED_AFTER_KEY_TTL, now, group, requestId, "retried after its key's TTL");
        }
        String serving = groups[group].servingEndpoint();
        if (request.isWrite() && serving != null && !serving.equals(endpointId)) {
            violations.add(
                    Violation.MISDIRECTED_WRITE,
                    now,
                    group,
                    requestId,
                    "a write to " + endpointId + " while " + serving + " serves them");
        }
        if (now > drainingSince.getOrDefault(endpointId, Long.MAX_VALUE / 2) + limits.drainGrace()) {
            violations.add(Violation.SENT_TO_DRAINED, now, group, requestId, "sent to a draining member");
        }
    }

    void onAttemptEnded(long now, long requestId, AttemptResult result) {
        AuditedRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        trace.add(now, request.group(), requestId, "attempt ended " + result);
        if (result == AttemptResult.OK && request.isWrite()) {
            groups[request.group()].recordServing(request.endpointId());
        }
        request.endAttempt(result != AttemptResult.OK && !result.provesNotExecuted());
        if (request.isAnswered()) {
            requests.remove(requestId);
        }
    }

    // ---- Databases -----------------------------------------------------------------------------------

    void onModelEffect(long now, int group, ModelEffect effect) {
        if (effect instanceof ModelEffect.WriteAppended e) {
            onApplied(now, group, e.idempotencyKey());
        } else if (effect instanceof ModelEffect.WriteRolledBack e) {
            onRolledBack(now, group, e.idempotencyKey());
        } else if (effect instanceof ModelEffect.LeaderLost e) {
            trace(now, group, "leader " + e.previousLeader() + " lost" + (e.planned() ? ", planned" : ""));
            groups[group].loseLeader(e.planned());
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            trace(now, group, "leader is " + e.member());
            groups[group].elect(SimulatedGroup.endpointId(group, e.member()));
        } else if (effect instanceof ModelEffect.MemberCollapsed e) {
            violations.add(
                    Violation.MEMBER_COLLAPSED,
                    now,
                    group,
                    AuditTrace.WHOLE_GROUP,
                    "member " + e.member() + " collapsed");
        }
    }

    private void onApplied(long now, int group, String idempotencyKey) {
        AuditedKey key = keys.get(idempotencyKey);
        trace.add(now, group, KEY_LINE, idempotencyKey + " applied");
        key.timesApplied++;
        if (key.timesApplied > 1) {
            violations.add(
                    Violation.APPLIED_TWICE,
                    now,
                    group,
                    AuditTrace.WHOLE_GROUP,
                    idempotencyKey,
                    idempotencyKey + " applied twice");
        }
    }

    private void onRolledBack(long now, int group, String idempotencyKey) {
        AuditedKey key = keys.get(idempotencyKey);
        key.timesApplied--;
        trace.add(now, group, KEY_LINE, idempotencyKey + " rolled back");
        if (key.served) {
            violations.add(
                    Violation.SERVED_NOT_APPLIED,
                    now,
                    group,
                    AuditTrace.WHOLE_GROUP,
                    idempotencyKey,
                    idempotencyKey + " served and lost");
        }
    }

    /** A member was elected; returns how often its group has lost its leader, for {@link #onLeaderStable}. */
    long onLeaderElected(int group, boolean changed) {
        failovers += changed ? 1 : 0;
        return groups[group].leaderLosses();
    }

    /** {@link #RECOVERY_MARGIN_MICROS} after an election: if the leader still leads, its affected writes are judged. */
    void onLeaderStable(int group, long leaderLosses, long electedAt, String leader, boolean warmingUp) {
        AuditedGroup audited = groups[group];
        if (!audited.isLedSince(leaderLosses)) {
            return;
        }
        long recoveredAt = electedAt + RECOVERY_MARGIN_MICROS;
        Reachability changeKind = audited.isPlanned() ? Reachability.PLANNED : Reachability.UNPLANNED;
        Reachability kind = warmingUp ? Reachability.WARMING_UP : changeKind;
        for (AuditedRequest request : audited.takeAffectedWrites()) {
            boolean inDoubt = request.isKeyExpiredAtFailover(leader, electedAt, limits.keyTtl(), recoveredAt);
            if (!request.isLost() && !inDoubt && request.deadline() >= recoveredAt) {
                request.setReachability(kind);
                if (request.isAnswered()) {
                    countReachable(request);
                }
            }
        }
    }

    private void countReachable(AuditedRequest request) {
        if (request.reachability() == Reachability.UNKNOWN || request.isLost()) {
            return;
        }
        reachableWrites.add(request.reachability(), request.isServed());
        if (!request.isServed()) {
            trace.add(request.deadline(), request.group(), request.requestId(), "reachable and not served");
        }
        request.setReachability(Reachability.UNKNOWN);
    }

    // ---- Results -------------------------------------------------------------------------------------

    /** Everything has come to rest: no request may still be open. */
    void end(long now) {
        for (AuditedRequest request : openRequests()) {
            violations.add(Violation.MISSING_REPLY, now, request.group(), request.requestId(), "never answered");
        }
    }

    long failovers() {
        return failovers;
    }

    /** The first violation with its trace; null for none. */
    String firstViolation() {
        return violations.first();
    }

    AuditSummary summary() {
        return new AuditSummary(
                failovers,
                keys.size(),
                violations.counts(),
                violations.failoversBeforeFirst(),
                reachableWrites,
                served,
                rejected,
                failed,
                rejectedWrites,
                rejectedWrites == 0 ? 0 : rejectionWaitMicros / rejectedWrites / MILLIS,
                reasons);
    }
}
