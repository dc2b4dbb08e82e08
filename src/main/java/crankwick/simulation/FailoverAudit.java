package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import crankwick.broker.Reply;
import crankwick.model.ModelEffect;
import crankwick.routing.api.AttemptResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks a run at every step from client requests and replies, attempts sent to databases, changes to the groups' logs
 * and leaders, and the endpoints published to the proxy. The proxy's own state is not used, except for the number of
 * buffered requests that it releases when it detects a failover.
 *
 * <p>A group has recovered {@link #RECOVERY_MARGIN_MICROS} after an election if it kept its leader and could commit
 * writes at both times. A write counts as reachable if it was open or received while its group had no leader, its
 * deadline is not before the recovery, its proxy process did not end before the reply, and it has no attempt that may
 * have been executed and whose key TTL ends before the recovery. Writes to a warming-up primary count separately.
 */
final class FailoverAudit {
    /** The time after an election that the proxy is given to detect the new primary and execute a write. */
    static final long RECOVERY_MARGIN_MICROS = 250_000;

    /** Stands for the request id in a trace line that concerns only an idempotency key. */
    private static final long KEY_REQUEST_ID = 0;

    private static final class AuditedKey {
        int timesApplied;
        boolean served;
    }

    /**
     * The limits that a run must observe; times in microseconds.
     *
     * @param replySlack how long after a request's deadline its reply may be sent
     * @param drainGrace how long attempts may still be sent to an endpoint after it was published as draining
     * @param keyTtl how long databases keep an idempotency key for deduplication
     * @param maxReleased maximum number of buffered requests that may be released in the step that detects a failover
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
    private long totalRejectionLatencyMicros;

    FailoverAudit(int groups, Limits limits) {
        this.limits = limits;
        this.groups = new AuditedGroup[groups];
        for (int i = 0; i < groups; i++) {
            this.groups[i] = new AuditedGroup();
        }
    }

    /** Adds a line about a whole group to the trace. */
    void trace(long now, int group, String text) {
        trace.add(now, group, AuditTrace.GROUP_REQUEST_ID, text);
    }

    // ---- Clients -------------------------------------------------------------------------------------

    void onRequest(long now, long requestId, int group, String key, long deadline) {
        AuditedRequest request = new AuditedRequest(requestId, group, key, now, deadline);
        requests.put(requestId, request);
        if (key != null) {
            trace.addKey(requestId, key);
            trace.add(now, group, requestId, "received with idempotency key " + key);
            groups[group].open(request);
            keys.computeIfAbsent(key, k -> new AuditedKey());
        }
    }

    void onReply(long now, long requestId, Reply reply) {
        AuditedRequest request = requests.get(requestId);
        if (request == null || request.isClosed()) {
            violations.add(
                    Violation.LATE_REPLY,
                    now,
                    request == null ? 0 : request.group(),
                    requestId,
                    "reply to a request that is already closed");
            return;
        }
        trace.add(now, request.group(), requestId, "replied " + reply);
        request.recordReply(reply instanceof Reply.Served);
        if (now > request.deadline() + limits.replySlack()) {
            violations.add(
                    Violation.LATE_REPLY,
                    now,
                    request.group(),
                    requestId,
                    "reply sent after the deadline and the reply slack");
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
                        "write served but applied " + key.timesApplied + " times");
            }
        }
    }

    private void onRejected(long now, AuditedRequest request, Reply.Rejected reply) {
        rejected++;
        reasons.merge(reply.reason(), 1L, Long::sum);
        if (!request.isWrite()) {
            return;
        }
        totalRejectionLatencyMicros += now - request.receivedAt();
        rejectedWrites++;
        if (request.mayHaveExecuted()) {
            violations.add(
                    Violation.REJECTED_IN_DOUBT,
                    now,
                    request.group(),
                    request.requestId(),
                    "write rejected although it may have been executed");
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
                .filter(request -> !request.isClosed())
                .toList();
    }

    // ---- The proxy -----------------------------------------------------------------------------------

    /** The proxy process has ended; a new process does not know which members serve writes. */
    void onProxyEnded() {
        for (AuditedGroup group : groups) {
            group.clearServingEndpoint();
        }
    }

    /** The proxy process has ended before replying to a request. */
    void onRequestLost(AuditedRequest request) {
        request.markLost();
        close(request);
    }

    /** An endpoint was published to the proxy. */
    void onEndpointPublished(long now, String endpointId, boolean draining) {
        if (draining) {
            drainingSince.putIfAbsent(endpointId, now);
        } else {
            drainingSince.remove(endpointId);
        }
    }

    /** The proxy released {@code count} buffered requests in the step in which it detected a failover. */
    void onReleased(long now, int count) {
        if (count > limits.maxReleased()) {
            violations.add(
                    Violation.RELEASE_LIMIT_EXCEEDED,
                    now,
                    0,
                    AuditTrace.GROUP_REQUEST_ID,
                    count + " buffered requests released at once");
        }
    }

    // ---- Attempts ------------------------------------------------------------------------------------

    void onAttemptSent(long now, long requestId, String endpointId) {
        AuditedRequest request = requests.get(requestId);
        if (request == null) {
            violations.add(
                    Violation.CONCURRENT_ATTEMPTS,
                    now,
                    0,
                    requestId,
                    "attempt sent for a request that is already closed");
            return;
        }
        trace.add(now, request.group(), requestId, "attempt sent to " + endpointId);
        checkAttempt(now, request, endpointId);
        request.startAttempt(endpointId, now);
    }

    private void checkAttempt(long now, AuditedRequest request, String endpointId) {
        int group = request.group();
        long requestId = request.requestId();
        if (request.isInFlight() || request.isClosed()) {
            violations.add(
                    Violation.CONCURRENT_ATTEMPTS,
                    now,
                    group,
                    requestId,
                    "a second attempt sent while one is in flight, or an attempt after the reply");
        }
        if (request.isWrite() && request.isKeyExpired(limits.keyTtl(), now)) {
            violations.add(
                    Violation.RETRIED_AFTER_KEY_TTL,
                    now,
                    group,
                    requestId,
                    "write retried after the TTL of its idempotency key");
        }
        String servingEndpoint = groups[group].servingEndpoint();
        if (request.isWrite() && servingEndpoint != null && !servingEndpoint.equals(endpointId)) {
            violations.add(
                    Violation.MISDIRECTED_WRITE,
                    now,
                    group,
                    requestId,
                    "write sent to " + endpointId + " while " + servingEndpoint + " serves the group's writes");
        }
        if (now > drainingSince.getOrDefault(endpointId, Long.MAX_VALUE / 2) + limits.drainGrace()) {
            violations.add(
                    Violation.SENT_AFTER_DRAIN_GRACE,
                    now,
                    group,
                    requestId,
                    "attempt sent to a draining member after the drain grace");
        }
    }

    void onAttemptEnded(long now, long requestId, AttemptResult result) {
        AuditedRequest request = requests.get(requestId);
        if (request == null) {
            return;
        }
        trace.add(now, request.group(), requestId, "attempt ended " + result);
        if (result == AttemptResult.OK && request.isWrite()) {
            groups[request.group()].recordServedWrite(request.endpointId());
        }
        request.endAttempt(result != AttemptResult.OK && !result.provesNotExecuted());
        if (request.isClosed()) {
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
            trace(now, group, "member " + e.previousLeader() + " lost leadership" + (e.planned() ? ", planned" : ""));
            groups[group].onLeaderLost(e.planned());
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            trace(now, group, "new leader is member " + e.member());
            groups[group].onLeaderElected(SimulatedGroup.endpointId(group, e.member()));
        } else if (effect instanceof ModelEffect.MemberCollapsed e) {
            violations.add(
                    Violation.MEMBER_COLLAPSED,
                    now,
                    group,
                    AuditTrace.GROUP_REQUEST_ID,
                    "member " + e.member() + " collapsed under overload");
        }
    }

    private void onApplied(long now, int group, String idempotencyKey) {
        AuditedKey key = keys.get(idempotencyKey);
        trace.add(now, group, KEY_REQUEST_ID, idempotencyKey + " applied");
        key.timesApplied++;
        if (key.timesApplied > 1) {
            violations.add(
                    Violation.APPLIED_TWICE,
                    now,
                    group,
                    AuditTrace.GROUP_REQUEST_ID,
                    idempotencyKey,
                    idempotencyKey + " applied twice");
        }
    }

    private void onRolledBack(long now, int group, String idempotencyKey) {
        AuditedKey key = keys.get(idempotencyKey);
        key.timesApplied--;
        trace.add(now, group, KEY_REQUEST_ID, idempotencyKey + " rolled back");
        if (key.served) {
            violations.add(
                    Violation.SERVED_NOT_APPLIED,
                    now,
                    group,
                    AuditTrace.GROUP_REQUEST_ID,
                    idempotencyKey,
                    idempotencyKey + " served, then rolled back");
        }
    }

    /** Counts a failover if the leader changed; returns the loss count that {@link #onLeaderStable} expects. */
    long onLeaderElected(int group, boolean changed) {
        failovers += changed ? 1 : 0;
        return groups[group].leaderLossCount();
    }

    /** Classifies the affected writes {@link #RECOVERY_MARGIN_MICROS} after an election if no leader was lost since. */
    void onLeaderStable(int group, long leaderLossCount, long electedAt, String leader, boolean warmingUp) {
        AuditedGroup audited = groups[group];
        if (!audited.hasStableLeaderSince(leaderLossCount)) {
            return;
        }
        long recoveredAt = electedAt + RECOVERY_MARGIN_MICROS;
        Reachability changeKind = audited.isLastLossPlanned() ? Reachability.PLANNED : Reachability.UNPLANNED;
        Reachability kind = warmingUp ? Reachability.WARMING_UP : changeKind;
        for (AuditedRequest request : audited.removeAffectedWrites()) {
            boolean inDoubt = request.isKeyExpiredAtFailover(leader, electedAt, limits.keyTtl(), recoveredAt);
            if (!request.isLost() && !inDoubt && request.deadline() >= recoveredAt) {
                request.setReachability(kind);
                if (request.isClosed()) {
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
            trace.add(request.deadline(), request.group(), request.requestId(), "reachable write not served");
        }
        request.setReachability(Reachability.UNKNOWN);
    }

    // ---- Results -------------------------------------------------------------------------------------

    /** Ends the run; each request that is still open is a violation. */
    void end(long now) {
        for (AuditedRequest request : openRequests()) {
            violations.add(
                    Violation.MISSING_REPLY,
                    now,
                    request.group(),
                    request.requestId(),
                    "no reply by the end of the run");
        }
    }

    long failovers() {
        return failovers;
    }

    /** The first violation with its trace; null if there is none. */
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
                rejectedWrites == 0 ? 0 : totalRejectionLatencyMicros / rejectedWrites / MILLIS,
                reasons);
    }
}
