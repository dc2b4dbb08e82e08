package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.List;

/** What the broker is told. */
public sealed interface BrokerEvent {
    /** A caller's request has come in whole. */
    record RequestReceived(ClientRequest request) implements BrokerEvent {}

    /** The caller has gone; no answer is owed. */
    record RequestAbandoned(long requestId, AbandonReason reason) implements BrokerEvent {}

    /** The last byte of an attempt has been written. */
    record AttemptWritten(long requestId, int attempt) implements BrokerEvent {}

    /** An attempt has ended; {@code value} counts where the result is OK. */
    record AttemptEnded(
            long requestId,
            int attempt,
            AttemptResult result,
            long duration,
            Role role,
            long position,
            LoadReport report,
            byte[] value)
            implements BrokerEvent {}

    /** A probe has ended. */
    record HealthCheckEnded(String endpointId, AttemptResult result, long duration, LoadReport report)
            implements BrokerEvent {}

    /** News of the list of databases. */
    record EndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints) implements BrokerEvent {}

    /** A timer that the decision module armed. */
    record RoutingTimerFired(long timerId) implements BrokerEvent {}

    /** What is held for changes of primaries is to be looked at. */
    record FailoverTimerFired() implements BrokerEvent {}

    /** A request's caller has now waited as long as it will. */
    record DeadlineReached(long requestId) implements BrokerEvent {}
}
