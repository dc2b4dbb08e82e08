package crankwick.database;

import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Role;
import java.util.Map;

/** Sends one attempt of a client's request and publishes its outcome to the broker. */
final class AttemptExchange extends Exchange {
    private static final long MICROS_PER_MILLI = 1_000;
    /**
     * A command that was read from the client at most this long ago is sent without reading the client's further input
     * first.
     */
    private static final long CLIENT_RECHECK_AGE_MICROS = 10_000;

    private final PoolContext context;
    private final Effect.SendAttempt attempt;
    private final CommandSource source;
    private final Map<Long, AttemptExchange> activeAttempts;

    /** {@code activeAttempts} is keyed by request id; the exchange removes itself from it when it ends. */
    AttemptExchange(
            PoolContext context,
            Effect.SendAttempt attempt,
            CommandSource source,
            Map<Long, AttemptExchange> activeAttempts) {
        super(attempt.endpointId(), context.clock());
        this.context = context;
        this.attempt = attempt;
        this.source = source;
        this.activeAttempts = activeAttempts;
    }

    @Override
    DatabaseCommand command() {
        long timeoutMicros = attempt.expiresAt() - context.clock().now();
        return new DatabaseCommand.Execute(
                source.statement().withTimeout(Math.max(1, timeoutMicros / MICROS_PER_MILLI)));
    }

    @Override
    boolean requiresClientRecheck() {
        return context.clock().now() - source.readAt() > CLIENT_RECHECK_AGE_MICROS;
    }

    @Override
    SendDecision sendDecision() {
        if (context.clock().now() >= attempt.startDeadline()) {
            return SendDecision.EXPIRED;
        }
        if (source.isAbandoned()) {
            return SendDecision.ABANDONED;
        }
        return source.hasLongUnreadInput() ? SendDecision.UNREAD_INPUT : SendDecision.SEND;
    }

    @Override
    void onWritten() {
        context.broker().publish(new BrokerEvent.AttemptWritten(attempt.requestId(), attempt.attempt()));
    }

    @Override
    void onEnded(AttemptResult result, long durationMicros, DatabaseMessage.Response response) {
        activeAttempts.remove(attempt.requestId());
        context.broker()
                .publish(response == null ? ended(result, durationMicros) : ended(result, durationMicros, response));
    }

    private BrokerEvent ended(AttemptResult result, long durationMicros) {
        return new BrokerEvent.AttemptEnded(
                attempt.requestId(),
                attempt.attempt(),
                result,
                durationMicros,
                Role.UNKNOWN,
                AbsentValue.NONE,
                null,
                null);
    }

    private BrokerEvent ended(AttemptResult result, long durationMicros, DatabaseMessage.Response response) {
        return new BrokerEvent.AttemptEnded(
                attempt.requestId(),
                attempt.attempt(),
                result,
                durationMicros,
                response.role(),
                response.position(),
                response.report(),
                response.value());
    }
}
