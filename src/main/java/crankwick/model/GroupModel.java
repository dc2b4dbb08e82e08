package crankwick.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One group of replicated databases as a deterministic state machine: takes an event and the current time, and emits
 * effects; the same seed and events give the same effects. The model has no threads, sockets or clock, so that both the
 * simulation and the emulator can host it.
 *
 * <p>The group has a single replication log. A write is acknowledged once another member has received its entry
 * (semi-synchronous replication). When the failure of a leader is declared, entries that no other member has received
 * are rolled back. Writes that a deposed leader executes before its demotion are never acknowledged.
 */
public final class GroupModel {
    private final List<Member> members = new ArrayList<>();
    private final ModelContext context;
    private final Leadership leadership;
    private final MemberResponder responder;
    private final StatementExecutor executor;
    private final ProcessLifecycle lifecycle;

    /** Creates a group with member 0 as the leader. */
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

    /** Handles one event; {@code time} is in microseconds and never decreases between calls. */
    public void handle(ModelEvent event, long time, Consumer<ModelEffect> effects) {
        context.beginEvent(time, effects);
        if (event instanceof ModelEvent.StatementReceived e) {
            onStatement(members.get(e.member()), e);
        } else if (event instanceof ModelEvent.HealthCheckReceived e) {
            onHealthCheck(members.get(e.member()), e.exchangeId());
        } else if (event instanceof ModelEvent.ConnectionClosed e) {
            members.forEach(member -> member.workload().onConnectionClosed(e.exchangeId()));
        } else if (event instanceof ModelEvent.FaultInjected e) {
            lifecycle.onFault(members.get(e.member()), e.kind());
        } else {
            context.runDueTimers();
        }
    }

    private void onStatement(Member member, ModelEvent.StatementReceived request) {
        if (member.refusesConnections()) {
            context.emit(new ModelEffect.ConnectionFailed(request.exchangeId(), member.index(), true));
            return;
        }
        StatementExecution statement = member.workload().register(request);
        if (member.isHung()) {
            member.workload().enqueue(statement);
        } else if (member.warmUp().recordWorkAndCheckOverload(executor.meanWork(request), context.now())) {
            lifecycle.collapse(member);
        } else {
            executor.submit(member, statement);
        }
    }

    private void onHealthCheck(Member member, long exchangeId) {
        if (member.refusesConnections()) {
            context.emit(new ModelEffect.ConnectionFailed(exchangeId, member.index(), true));
        } else if (member.isHung()) {
            member.workload().bufferHealthCheck(exchangeId);
        } else {
            responder.answerHealthCheck(member, exchangeId);
        }
    }

    /** When the host must deliver the next {@link ModelEvent.TimerDue}, in microseconds; Long.MAX_VALUE for never. */
    public long nextTimerDue() {
        return context.nextTimerDue();
    }

    /** The index of the current leader, or -1 if the group has none. */
    public int leader() {
        return leadership.leader();
    }

    /** The index of the current leader or, if the group has none, of the previous leader. */
    public int latestLeader() {
        return leadership.latestLeader();
    }

    /** Whether a write can be acknowledged now: the group has a leader, and another member is up to receive entries. */
    public boolean canCommitWrites() {
        return leadership.hasLeader()
                && members.stream().anyMatch(member -> member.isUp() && !leadership.isLeader(member));
    }

    /** Whether a member's process is up, so that it accepts connections and answers statements and health checks. */
    public boolean isResponsive(int member) {
        return members.get(member).isUp();
    }

    /** Whether connections to a member are refused because its process has ended. */
    public boolean refusesConnections(int member) {
        return members.get(member).refusesConnections();
    }

    /** Whether a member is draining, so that it rejects new statements. */
    public boolean isDraining(int member) {
        return members.get(member).isDraining();
    }

    /** When a member last started, in microseconds; 0 if it has not restarted since the model was created. */
    public long startedAt(int member) {
        return Math.max(0, members.get(member).startedAt());
    }
}
