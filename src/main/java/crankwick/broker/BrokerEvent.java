package crankwick.broker;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.List;

/** An event that the broker reduces. */
public sealed interface BrokerEvent {
    /** The event of a timer that concerns one request, and nothing once the request is finished. */
    sealed interface RequestTimerEvent extends BrokerEvent {
        /** The broker's id of the request. */
        long requestId();
    }

    /** A client's request has been received completely. */
    record RequestReceived(ClientRequest request) implements BrokerEvent {}

    /** The client has abandoned the request and receives no reply. */
    record RequestAbandoned(long requestId, AbandonReason reason) implements BrokerEvent {}

    /** The last byte of an attempt has been written to the database connection. */
    record AttemptWritten(long requestId, int attempt) implements BrokerEvent {}

    /** An attempt has ended; {@code value} is meaningful only if the result is OK. */
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

    /** The key window of the attempts before this one has ended: databases no longer discard it as a repeat. */
    record KeyWindowEnded(long requestId, int attempt) implements RequestTimerEvent {}

    /** A health check has ended. */
    record HealthCheckEnded(String endpointId, AttemptResult result, long duration, LoadReport report)
            implements BrokerEvent {}

    /** The endpoint list or an incremental update of it has been received. */
    record EndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints) implements BrokerEvent {}

    /** A timer that the router scheduled has fired. */
    record RoutingTimerFired(long timerId) implements BrokerEvent {}

    /** The timer that the failover coordinator scheduled has fired. */
    record FailoverTimerFired() implements BrokerEvent {}

    /** A request's deadline has been reached, or the grace period that its attempt had after the deadline has ended. */
    record DeadlineReached(long requestId) implements RequestTimerEvent {}
}
