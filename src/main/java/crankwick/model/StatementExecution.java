package crankwick.model;

/** A statement at a member, and its execution state. */
final class StatementExecution {
    private enum State {
        QUEUED,
        EXECUTING,
        /** The statement's connection has ended, so no response is sent; an execution that has started continues. */
        ABANDONED
    }

    private final ModelEvent.StatementReceived request;
    private State state = State.QUEUED;

    StatementExecution(ModelEvent.StatementReceived request) {
        this.request = request;
    }

    ModelEvent.StatementReceived request() {
        return request;
    }

    boolean isWrite() {
        return request.isWrite();
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
