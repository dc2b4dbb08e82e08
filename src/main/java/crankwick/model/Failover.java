package crankwick.model;

import crankwick.routing.api.AttemptResult;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Changes of the leader: failure detection, election, and what a deposed leader does. The most advanced member
 * takes over, of several the one that has been up longest.
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

    /** A member has crashed or hangs: if it led, its failure is detected some time later. */
    void onUnresponsive(Member member) {
        if (!leadership.isLeader(member)) {
            return;
        }
        member.progress().loseLeadership(context.now());
        leadership.lose(context.now());
        context.emit(new ModelEffect.LeaderLost(member.index(), false));
        context.scheduleAfter(
                context.draw(settings.failureDetectionDelay()), leadership.inThisEpoch(() -> declareFailed(member)));
    }

    private void declareFailed(Member member) {
        leadership.declareFailed();
        replication.rollBackUnreceived(member);
        context.scheduleAfter(context.draw(settings.electionDelay()), leadership.inThisEpoch(this::electLeader));
    }

    private void electLeader() {
        Member best = null;
        for (Member member : members) {
            if (isEligible(member) && (best == null || isPreferred(member, best))) {
                best = member;
            }
        }
        if (best == null) {
            context.scheduleAfter(ELECTION_RETRY_MICROS, leadership.inThisEpoch(this::electLeader));
        } else {
            promote(best);
        }
    }

    private boolean isEligible(Member member) {
        return member.isUp() && !member.isDraining() && !leadership.isMostRecentLeader(member);
    }

    private static boolean isPreferred(Member member, Member other) {
        long received = member.progress().received();
        long otherReceived = other.progress().received();
        return received > otherReceived || received == otherReceived && member.startedAt() < other.startedAt();
    }

    private void promote(Member member) {
        Member previous = members.get(leadership.mostRecentLeader());
        member.progress().catchUpTo(log.end());
        member.setClaimsPrimary(true);
        leadership.elect(member);
        if (previous != member && previous.isUp()) {
            demote(previous);
        }
        context.emit(new ModelEffect.LeaderElected(member.index()));
    }

    /** A member learns that another leads: unanswered writes that have begun may have run, queued ones have not. */
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

    /** A member begins to drain: if it leads, another is elected some time later. */
    void onDraining(Member member) {
        if (!leadership.isLeader(member)) {
            return;
        }
        context.emit(new ModelEffect.LeaderLost(member.index(), true));
        context.scheduleAfter(context.draw(settings.handoverDelay()), leadership.inThisEpoch(() -> handOver(member)));
    }

    private void handOver(Member leader) {
        replication.completeBeforeHandOver(leader);
        leader.progress().loseLeadership(context.now());
        leadership.handOver(context.now());
        electLeader();
    }

    /** A member's process is back, or goes on: it resumes as the leader, learns of another, or catches up. */
    void onResponsive(Member member) {
        if (leadership.isMostRecentLeader(member) && !leadership.hasLeader() && !member.isDraining()) {
            if (leadership.isDetectingFailure()) {
                resume(member);
            } else {
                demoteLater(member, () -> true);
            }
        } else if (member.claimsPrimary() && !leadership.isLeader(member)) {
            demoteLater(member, member::claimsPrimary);
        } else if (!leadership.isLeader(member)) {
            member.progress().catchUpTo(log.end());
        }
    }

    private void resume(Member member) {
        leadership.resume();
        member.setClaimsPrimary(true);
        context.emit(new ModelEffect.LeaderElected(member.index()));
        replication.sendAgain(member);
    }

    private void demoteLater(Member member, BooleanSupplier condition) {
        long incarnation = member.startedAt();
        context.scheduleAfter(context.draw(settings.demotionDelay()), () -> {
            boolean sameProcess = member.startedAt() == incarnation && member.isUp();
            if (condition.getAsBoolean() && !leadership.isLeader(member) && sameProcess) {
                demote(member);
            }
        });
    }
}
