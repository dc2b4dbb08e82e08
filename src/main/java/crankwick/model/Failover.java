package crankwick.model;

import crankwick.routing.api.AttemptResult;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Changes of the leader: failure detection, election, handover by a draining leader, and demotion of a deposed leader.
 * Of the members that are up, not draining and not the latest leader, the one that has received the most log entries is
 * elected; ties go to the member with the earliest process start.
 */
final class Failover {
    private static final long ELECTION_RETRY_MICROS = 200_000;

    private final ModelSettings settings;
    private final ModelContext context;
    private final List<Member> members;
    private final Leadership leadership;
    private final ReplicationLog log;
    private final MemberResponder responder;
    private final Replication replication;

    Failover(
            ModelSettings settings,
            ModelContext context,
            List<Member> members,
            Leadership leadership,
            ReplicationLog log,
            MemberResponder responder,
            Replication replication) {
        this.settings = settings;
        this.context = context;
        this.members = members;
        this.leadership = leadership;
        this.log = log;
        this.responder = responder;
        this.replication = replication;
    }

    /**
     * A member's process has ended or hangs: if the member was the leader, its failure is declared after the detection
     * delay.
     */
    void onUnresponsive(Member member) {
        if (!leadership.isLeader(member)) {
            return;
        }
        member.progress().recordLeadershipLoss(context.now());
        leadership.markLost(context.now());
        context.emit(new ModelEffect.LeaderLost(member.index(), false));
        context.scheduleAfter(
                context.draw(settings.failureDetectionDelay()), leadership.guardedByEpoch(() -> declareFailed(member)));
    }

    private void declareFailed(Member member) {
        leadership.declareFailed();
        replication.rollBackUnreplicated(member);
        context.scheduleAfter(context.draw(settings.electionDelay()), leadership.guardedByEpoch(this::electLeader));
    }

    private void electLeader() {
        Member candidate = null;
        for (Member member : members) {
            if (isEligible(member) && (candidate == null || isPreferred(member, candidate))) {
                candidate = member;
            }
        }
        if (candidate == null) {
            context.scheduleAfter(ELECTION_RETRY_MICROS, leadership.guardedByEpoch(this::electLeader));
        } else {
            promote(candidate);
        }
    }

    private boolean isEligible(Member member) {
        return member.isUp() && !member.isDraining() && !leadership.isLatestLeader(member);
    }

    private static boolean isPreferred(Member member, Member other) {
        long received = member.progress().received();
        long otherReceived = other.progress().received();
        return received > otherReceived || received == otherReceived && member.startedAt() < other.startedAt();
    }

    private void promote(Member member) {
        Member previous = members.get(leadership.latestLeader());
        member.progress().catchUpTo(log.end());
        member.setClaimsPrimary(true);
        leadership.elect(member);
        if (previous != member && previous.isUp()) {
            demote(previous);
        }
        context.emit(new ModelEffect.LeaderElected(member.index()));
    }

    /**
     * Takes the primary role from a deposed leader. Unanswered writes that it has started may have been executed, so
     * they end with ERROR; queued writes were not executed and are rejected as INELIGIBLE_REPLICA.
     */
    private void demote(Member member) {
        member.setClaimsPrimary(false);
        member.progress().catchUpTo(log.end());
        for (StatementExecution write : member.workload().unansweredWrites()) {
            if (write.isQueued()) {
                member.workload().removeFromQueue(write);
                responder.answer(member, write, AttemptResult.INELIGIBLE_REPLICA);
            } else {
                responder.answer(member, write, AttemptResult.ERROR);
            }
        }
    }

    /** A member starts draining: if it is the leader, the group elects a successor after the handover delay. */
    void onDraining(Member member) {
        if (!leadership.isLeader(member)) {
            return;
        }
        context.emit(new ModelEffect.LeaderLost(member.index(), true));
        context.scheduleAfter(
                context.draw(settings.handoverDelay()), leadership.guardedByEpoch(() -> completeHandover(member)));
    }

    private void completeHandover(Member leader) {
        replication.completeForHandover(leader);
        leader.progress().recordLeadershipLoss(context.now());
        leadership.beginHandover(context.now());
        electLeader();
    }

    /**
     * A member's process has restarted or resumed after a hang. The latest leader resumes its role if its
     * failure has not been declared yet; a deposed leader is demoted after a delay; a replica catches up with the
     * log.
     */
    void onResponsive(Member member) {
        if (leadership.isLatestLeader(member) && !leadership.hasLeader() && !member.isDraining()) {
            if (leadership.isDetectingFailure()) {
                resumeLeadership(member);
            } else {
                scheduleDemotion(member, () -> true);
            }
        } else if (member.claimsPrimary() && !leadership.isLeader(member)) {
            scheduleDemotion(member, member::claimsPrimary);
        } else if (!leadership.isLeader(member)) {
            member.progress().catchUpTo(log.end());
        }
    }

    private void resumeLeadership(Member member) {
        leadership.resume();
        member.setClaimsPrimary(true);
        context.emit(new ModelEffect.LeaderElected(member.index()));
        replication.resendUnreceived(member);
    }

    private void scheduleDemotion(Member member, BooleanSupplier condition) {
        long incarnation = member.startedAt();
        context.scheduleAfter(context.draw(settings.demotionDelay()), () -> {
            boolean sameProcess = member.startedAt() == incarnation && member.isUp();
            if (condition.getAsBoolean() && !leadership.isLeader(member) && sameProcess) {
                demote(member);
            }
        });
    }
}
