package crankwick.model;

/** A statement at a member, until it is answered or its connection ends. */
final class StatementExecution {
    private enum State {
        QUEUED,
        EXECUTING,
        /** Nobody can receive the answer any more; work that has begun goes on. */
        ABANDONED
    }

    private final ModelEvent.StatementReceived query;
    private State state = State.QUEUED;

    StatementExecution(ModelEvent.StatementReceived query) {
        this.query = query;
    }

    ModelEvent.StatementReceived query() {
        return query;
    }

    boolean isWrite() {
        return query.isWrite();
    }

    void start() {
        state = State.EXECUTING;
    }

    void abandon() {
        state = State.ABANDONED;
    }

    boolean isQueued() {
        return state == State.QUEUED;
    }

    boolean isAbandoned() {
        return state == State.ABANDONED;
    }
}
