package crankwick.model;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/**
 * Answers statements and health checks at a member; each response has the role, replication position and load report of
 * the member.
 */
final class MemberResponder {
    private final ModelSettings settings;
    private final ModelContext context;
    private final Leadership leadership;
    private final ReplicationLog log;

    MemberResponder(ModelSettings settings, ModelContext context, Leadership leadership, ReplicationLog log) {
        this.settings = settings;
        this.context = context;
        this.leadership = leadership;
        this.log = log;
    }

    /**
     * Answers a statement, unless its connection has ended. The response to a committed write has the current time as
     * its position, every other one the position of the member.
     */
    void answer(Member member, StatementExecution statement, AttemptResult result) {
        member.workload().markAnswered(statement);
        if (!statement.isAbandoned()) {
            boolean committed = statement.isWrite() && result == AttemptResult.OK;
            long position = committed ? context.now() : position(member);
            emitAnswer(statement.request().exchangeId(), member, result, position);
        }
    }

    void answerHealthCheck(Member member, long exchangeId) {
        emitAnswer(exchangeId, member, AttemptResult.OK, position(member));
    }

    private void emitAnswer(long exchangeId, Member member, AttemptResult result, long position) {
        context.emit(new ModelEffect.ResponseSent(
                exchangeId, member.index(), result, role(member), position, loadReport(member)));
    }

    /**
     * The time up to which a member has seen all writes, in microseconds. Leader: the current time. Deposed leader that
     * still claims the role: the time at which it lost leadership. Replica with unapplied entries: just before the
     * first of them. Other replicas: the current time, or the last heartbeat if the group has no leader, less the
     * maximum replication delay. The position of a member without leadership is at least the one reported before.
     */
    long position(Member member) {
        ReplicaProgress progress = member.progress();
        if (leadership.isLeader(member)) {
            leadership.heartbeat(context.now());
            return progress.reportNow(context.now());
        }
        if (member.claimsPrimary()) {
            return progress.report(progress.positionAtLeadershipLoss());
        }
        if (progress.applied() < log.end()) {
            return progress.report(log.get(progress.applied()).committedAt() - 1);
        }
        long allWritesKnownUpTo = leadership.hasLeader() ? context.now() : leadership.lastHeartbeatAt();
        return progress.report(allWritesKnownUpTo - settings.replicationDelay().maxMicros());
    }

    private static Role role(Member member) {
        return member.claimsPrimary() ? Role.PRIMARY : Role.REPLICA;
    }

    private LoadReport loadReport(Member member) {
        MemberWorkload workload = member.workload();
        return new LoadReport(
                position(member), role(member), workload.queueLength(), workload.utilization(), Double.NaN);
    }
}
