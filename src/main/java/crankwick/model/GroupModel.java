package crankwick.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One group of replicated databases as a state machine: (event, now) in, effects out, the same for the same
 * seed. It has no threads, sockets or clock, so that simulated time and sockets can both host it.
 *
 * <p>The log is the group's one history. A write is answered once another member has received its entry, as
 * in semi-synchronous replication; entries that nobody received are rolled back when their leader fails. What
 * a deposed leader does before it learns of its successor is never answered.
 */
public final class GroupModel {
    private final List<Member> members = new ArrayList<>();
    private final ModelContext context;
    private final Leadership leadership;
    private final MemberResponder responder;
    private final StatementExecutor executor;
    private final ProcessLifecycle lifecycle;

    /** A group whose member 0 leads. */
    public GroupModel(ModelSettings settings, long seed, long now) {
        for (int i = 0; i < settings.memberCount(); i++) {
            members.add(new Member(i, settings, now));
        }
        members.get(0).setClaimsPrimary(true);
        context = new ModelContext(seed, now);
        leadership = new Leadership(now);
        ReplicationLog log = new ReplicationLog();
        responder = new MemberResponder(settings, context, leadership, log);
        Replication replication = new Replication(settings, context, members, leadership, log, responder);
        executor = new StatementExecutor(settings, context, leadership, responder, replication);
        Failover failover = new Failover(settings, context, members, leadership, log, responder, replication);
        lifecycle = new ProcessLifecycle(context, leadership, responder, executor, failover);
    }

    /** Takes one event at a time in microseconds, which never goes back. */
    public void handle(ModelEvent event, long time, Consumer<ModelEffect> effects) {
        context.beginEvent(time, effects);
        if (event instanceof ModelEvent.StatementReceived e) {
            onQuery(members.get(e.member()), e);
        } else if (event instanceof ModelEvent.HealthCheckReceived e) {
            onHealthCheck(members.get(e.member()), e.exchangeId());
        } else if (event instanceof ModelEvent.ConnectionClosed e) {
            members.forEach(member -> member.workload().abandon(e.exchangeId()));
        } else if (event instanceof ModelEvent.FaultInjected e) {
            lifecycle.onFault(members.get(e.member()), e.kind());
        } else {
            context.runDueTimers();
        }
    }

    private void onQuery(Member member, ModelEvent.StatementReceived query) {
        if (member.refusesConnections()) {
            context.emit(new ModelEffect.ConnectionFailed(query.exchangeId(), member.index(), true));
            return;
        }
        StatementExecution statement = member.workload().register(query);
        if (member.isHung()) {
            member.workload().enqueue(statement);
        } else if (member.warmUp().isOverloadedBy(executor.meanWork(query), context.now())) {
            lifecycle.collapse(member);
        } else {
            executor.submit(member, statement);
        }
    }

    private void onHealthCheck(Member member, long exchangeId) {
        if (member.refusesConnections()) {
            context.emit(new ModelEffect.ConnectionFailed(exchangeId, member.index(), true));
        } else if (member.isHung()) {
            member.workload().holdHealthCheck(exchangeId);
        } else {
            responder.answerHealthCheck(member, exchangeId);
        }
    }

    /** When {@link ModelEvent.TimerDue} is wanted next; Long.MAX_VALUE for never. */
    public long nextTimerDue() {
        return context.nextTimerDue();
    }

    /** The index of the member that takes writes now, or -1. */
    public int leader() {
        return leadership.leader();
    }

    /** The index of the member that took writes last, or does now. */
    public int mostRecentLeader() {
        return leadership.mostRecentLeader();
    }

    /** Whether a write would be answered now: there is a leader, and another member can receive its entry. */
    public boolean canCommitWrites() {
        return leadership.hasLeader()
                && members.stream().anyMatch(member -> member.isUp() && !leadership.isLeader(member));
    }

    /** Whether connections to a member come up, and work there is answered. */
    public boolean isResponsive(int member) {
        return members.get(member).isUp();
    }

    /** Whether connections to a member are refused at once. */
    public boolean refusesConnections(int member) {
        return members.get(member).refusesConnections();
    }

    /** Whether a member rejects new work before it ends. */
    public boolean isDraining(int member) {
        return members.get(member).isDraining();
    }

    /** When a member last started, in microseconds; 0 for long ago. */
    public long startedAt(int member) {
        return Math.max(0, members.get(member).startedAt());
    }
}
