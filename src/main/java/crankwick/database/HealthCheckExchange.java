package crankwick.database;

import crankwick.broker.BrokerEvent;
import crankwick.routing.api.AttemptResult;

/** A health check: requests a database's load report. */
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
    SendDecision sendDecision() {
        return SendDecision.SEND;
    }

    @Override
    void onWritten() {
        // The broker times a health check by its end only, not by when it was written.
    }

    @Override
    void onEnded(AttemptResult result, long durationMicros, DatabaseMessage.Response response) {
        context.broker()
                .publish(new BrokerEvent.HealthCheckEnded(
                        endpointId(), result, durationMicros, response == null ? null : response.report()));
    }
}
