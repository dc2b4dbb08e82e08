package crankwick.model;

import crankwick.routing.api.AttemptResult;

/** Queues statements at a member and executes them on its cores. */
final class StatementExecutor {
    /** How often a finished execution checks whether its hung process has resumed. */
    private static final long HUNG_RECHECK_MICROS = 200_000;
    /** How often a waiting read checks whether the member has reached its required position. */
    private static final long READ_RECHECK_MICROS = 1_000;

    private static final long MIN_WORK_MICROS = 100;

    private final ModelSettings settings;
    private final ModelContext context;
    private final Leadership leadership;
    private final MemberResponder responder;
    private final Replication replication;

    StatementExecutor(
            ModelSettings settings,
            ModelContext context,
            Leadership leadership,
            MemberResponder responder,
            Replication replication) {
        this.settings = settings;
        this.context = context;
        this.leadership = leadership;
        this.responder = responder;
        this.replication = replication;
    }

    /** Mean execution time of a statement at full capacity, in microseconds. */
    long meanWork(ModelEvent.StatementReceived request) {
        return request.isWrite() ? settings.meanWriteWorkMicros() : settings.meanReadWorkMicros();
    }

    /**
     * Queues a statement or rejects it: a draining member or a full queue rejects every statement, and a member that
     * does not claim the primary role rejects writes.
     */
    void submit(Member member, StatementExecution statement) {
        if (member.isDraining() || member.workload().queueLength() >= settings.maxQueuedStatements()) {
            responder.answer(member, statement, AttemptResult.REJECTED_OVERLOADED);
        } else if (statement.isWrite() && !member.claimsPrimary()) {
            responder.answer(member, statement, AttemptResult.INELIGIBLE_REPLICA);
        } else {
            member.workload().enqueue(statement);
            startQueued(member);
        }
    }

    /** Starts queued statements on the member's free cores if it is up. */
    void startQueued(Member member) {
        while (member.isUp()) {
            StatementExecution statement = member.workload().startNext();
            if (statement == null) {
                return;
            }
            execute(member, statement);
        }
    }

    private void execute(Member member, StatementExecution statement) {
        long mean = meanWork(statement.request());
        long work = (long)
                (-mean * Math.log(1 - context.drawUniform()) / member.warmUp().capacity(context.now()));
        long incarnation = member.startedAt();
        context.scheduleAfter(Math.max(MIN_WORK_MICROS, work), () -> onExecuted(member, statement, incarnation));
    }

    /**
     * Completes an execution. If the process hangs, this is deferred until the process resumes; if the process has
     * ended, nothing happens.
     */
    private void onExecuted(Member member, StatementExecution statement, long incarnation) {
        if (member.startedAt() != incarnation || member.refusesConnections()) {
            return;
        }
        if (member.isHung()) {
            context.scheduleAfter(HUNG_RECHECK_MICROS, () -> onExecuted(member, statement, incarnation));
            return;
        }
        member.workload().releaseCore();
        if (statement.isWrite()) {
            completeWrite(member, statement);
        } else {
            completeRead(member, statement, context.now() + settings.maxReadWaitMicros());
        }
        startQueued(member);
    }

    private void completeRead(Member member, StatementExecution statement, long deadline) {
        if (responder.position(member) >= statement.request().requiredPosition()) {
            responder.answer(member, statement, AttemptResult.OK);
        } else if (context.now() >= deadline || statement.isAbandoned()) {
            responder.answer(member, statement, AttemptResult.INELIGIBLE_REPLICA);
        } else {
            context.scheduleAfter(READ_RECHECK_MICROS, () -> completeRead(member, statement, deadline));
        }
    }

    private void completeWrite(Member member, StatementExecution statement) {
        if (!member.claimsPrimary()) {
            responder.answer(member, statement, AttemptResult.ERROR);
        } else if (leadership.isLeader(member)) {
            replication.commit(member, statement);
        }
        // A deposed primary that still claims its role receives no replica acknowledgements, so it sends no response
        // before its demotion.
    }
}
