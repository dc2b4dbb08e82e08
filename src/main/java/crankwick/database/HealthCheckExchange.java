package crankwick.database;

import crankwick.broker.BrokerEvent;
import crankwick.routing.api.AttemptResult;

/** A health check: it asks a database for its load report. */
final class HealthCheckExchange extends Exchange {
    private final PoolContext context;

    HealthCheckExchange(PoolContext context, String endpointId) {
        super(endpointId, context.clock());
        this.context = context;
    }

    @Override
    DatabaseCommand command() {
        return new DatabaseCommand.RequestLoadReport();
    }

    @Override
    boolean requiresClientRecheck() {
        return false;
    }

    @Override
    BeginDecision mayBegin() {
        return BeginDecision.BEGIN;
    }

    @Override
    void onWritten() {
        // The broker times health checks by their end alone.
    }

    @Override
    void onEnded(AttemptResult result, long durationMicros, DatabaseMessage.Response response) {
        context.broker()
                .publish(new BrokerEvent.HealthCheckEnded(
                        endpointId(), result, durationMicros, response == null ? null : response.report()));
    }
}
