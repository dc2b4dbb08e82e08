package crankwick.simulation;

import crankwick.broker.Effect;
import crankwick.model.ModelEvent;
import crankwick.routing.api.AbsentValue;

/** An attempt or a health check on its way to a member, at it, or on its way back. */
final class NetworkExchange {
    private static final long NO_REQUEST = -1;
    private static final int NO_ATTEMPT = -1;

    private enum State {
        TRAVELLING,
        /** The member has been sent all of an attempt. */
        WRITTEN,
        FINISHED
    }

    private final long exchangeId;
    private final long requestId;
    private final int attempt;
    private final String endpointId;
    private final long startedAt;
    private final String idempotencyKey;
    private final long requiredPosition;
    private State state = State.TRAVELLING;

    private NetworkExchange(
            long exchangeId,
            long requestId,
            int attempt,
            String endpointId,
            long startedAt,
            String idempotencyKey,
            long requiredPosition) {
        this.exchangeId = exchangeId;
        this.requestId = requestId;
        this.attempt = attempt;
        this.endpointId = endpointId;
        this.startedAt = startedAt;
        this.idempotencyKey = idempotencyKey;
        this.requiredPosition = requiredPosition;
    }

    static NetworkExchange attempt(
            long exchangeId, Effect.SendAttempt attempt, long now, String idempotencyKey, long requiredPosition) {
        return new NetworkExchange(
                exchangeId,
                attempt.requestId(),
                attempt.attempt(),
                attempt.endpointId(),
                now,
                idempotencyKey,
                requiredPosition);
    }

    static NetworkExchange healthCheck(long exchangeId, String endpointId, long now) {
        return new NetworkExchange(exchangeId, NO_REQUEST, NO_ATTEMPT, endpointId, now, null, AbsentValue.NONE);
    }

    /** Its id at the model, never used twice. */
    long exchangeId() {
        return exchangeId;
    }

    long requestId() {
        return requestId;
    }

    int attempt() {
        return attempt;
    }

    boolean isHealthCheck() {
        return attempt == NO_ATTEMPT;
    }

    String endpointId() {
        return endpointId;
    }

    int member() {
        return SimulatedGroup.memberOf(endpointId);
    }

    long startedAt() {
        return startedAt;
    }

    ModelEvent toModelEvent() {
        return isHealthCheck()
                ? new ModelEvent.HealthCheckReceived(exchangeId, member())
                : new ModelEvent.StatementReceived(exchangeId, member(), idempotencyKey, requiredPosition);
    }

    void setWritten() {
        state = State.WRITTEN;
    }

    boolean isWritten() {
        return state == State.WRITTEN;
    }

    void finish() {
        state = State.FINISHED;
    }

    /** The proxy has been given a result, or waits for none. */
    boolean isFinished() {
        return state == State.FINISHED;
    }
}
