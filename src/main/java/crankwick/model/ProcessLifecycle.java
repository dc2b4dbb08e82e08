package crankwick.model;

import crankwick.model.Member.ProcessState;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import java.util.List;

/** Crashes, hangs, drains, collapses and restarts of members' processes. */
final class ProcessLifecycle {
    private final ModelContext context;
    private final Leadership leadership;
    private final MemberResponder responder;
    private final StatementExecutor executor;
    private final Failover failover;

    ProcessLifecycle(
            ModelContext context,
            Leadership leadership,
            MemberResponder responder,
            StatementExecutor executor,
            Failover failover) {
        this.context = context;
        this.leadership = leadership;
        this.responder = responder;
        this.executor = executor;
        this.failover = failover;
    }

    void onFault(Member member, Kind kind) {
        switch (kind) {
            case CRASH -> stop(member, ProcessState.DOWN);
            case HANG -> hang(member);
            case DRAIN -> drain(member);
            case RESTART -> restart(member);
        }
    }

    /** Stops a member that was overloaded while warming up; later restarts of the member are ignored. */
    void collapse(Member member) {
        stop(member, ProcessState.COLLAPSED);
        context.emit(new ModelEffect.MemberCollapsed(member.index()));
    }

    private void stop(Member member, ProcessState state) {
        if (member.refusesConnections()) {
            return;
        }
        member.setState(state);
        List<Long> exchangeIds = member.workload().clear();
        exchangeIds.forEach(id -> context.emit(new ModelEffect.ConnectionFailed(id, member.index(), false)));
        failover.onUnresponsive(member);
    }

    private void hang(Member member) {
        if (member.isUp()) {
            member.setState(ProcessState.HUNG);
            failover.onUnresponsive(member);
        }
    }

    private void drain(Member member) {
        if (member.isUp() && !member.isDraining()) {
            member.setDraining(true);
            failover.onDraining(member);
        }
    }

    /** Starts a process that is down, or draining without being the latest leader; resumes a hung process. */
    private void restart(Member member) {
        if (member.state() == ProcessState.COLLAPSED) {
            return;
        }
        if (member.state() == ProcessState.DOWN || hasDrained(member)) {
            stop(member, ProcessState.DOWN);
            member.warmUp().restart(context.now());
            member.setDraining(false);
        }
        boolean resumes = member.isHung();
        member.setState(ProcessState.UP);
        failover.onResponsive(member);
        if (resumes) {
            member.workload().releaseHealthChecks().forEach(id -> responder.answerHealthCheck(member, id));
            executor.startQueued(member);
        }
    }

    private boolean hasDrained(Member member) {
        return member.isDraining() && !leadership.isLeader(member) && !leadership.isLatestLeader(member);
    }
}
