package crankwick.simulation;

import crankwick.broker.Effect;
import crankwick.model.ModelEvent;
import crankwick.routing.api.AbsentValue;

/** An attempt or a health check, from its start to its result. */
final class NetworkExchange {
    private static final long NO_REQUEST = -1;
    private static final int NO_ATTEMPT = -1;

    private enum State {
        IN_TRANSIT,
        /** The attempt has been written completely to the member. */
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
    private State state = State.IN_TRANSIT;

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

    /** The id of the exchange in the group's model; unique within a run. */
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

    /** Whether the proxy has received the result or no longer waits for it. */
    boolean isFinished() {
        return state == State.FINISHED;
    }
}
