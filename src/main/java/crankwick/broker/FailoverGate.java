package crankwick.broker;

import crankwick.failover.AttemptObservation;
import crankwick.failover.AttemptPermit;
import crankwick.failover.FailoverActions;
import crankwick.failover.FailoverAdmission;
import crankwick.failover.FailoverCoordinator;
import crankwick.failover.IncomingRequest;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.List;

/** Asks the failover coordinator where there is one; without it, failovers are left to the router alone. */
final class FailoverGate {
    private final FailoverCoordinator coordinator;

    /** {@code coordinator} may be null. */
    FailoverGate(FailoverCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** The coordinator; null where there is none. */
    FailoverCoordinator coordinator() {
        return coordinator;
    }

    FailoverAdmission admit(ClientRequest request, long expiresAt, long now) {
        if (coordinator == null) {
            return FailoverAdmission.ADMIT;
        }
        IncomingRequest arrival = new IncomingRequest(
                request.requestId(),
                request.groupId(),
                request.team(),
                request.classIndex(),
                request.idempotencyKey(),
                request.statementBytes(),
                expiresAt);
        return coordinator.admit(arrival, now);
    }

    /** The answer to a request of a group that has no leader in time. */
    Reply noPrimary(ClientRequest request, long now) {
        long retryAfter = coordinator.retryAfter(request.groupId(), request.classIndex(), now);
        return new Reply.Rejected(Reply.Reason.NO_PRIMARY, retryAfter);
    }

    AttemptPermit permitAttempt(long requestId, String endpointId, long now) {
        return coordinator == null ? AttemptPermit.GRANTED : coordinator.permitAttempt(requestId, endpointId, now);
    }

    /** True if the request's key may have executed by another request, so that it must not be called harmless. */
    boolean hasUnknownOutcome(long requestId) {
        return coordinator != null && coordinator.hasUnknownOutcome(requestId);
    }

    void onCompleted(long requestId) {
        if (coordinator != null) {
            coordinator.onRequestCompleted(requestId);
        }
    }

    /** The role that an attempt's end reports, UNKNOWN where it is outdated. */
    Role onAttemptObserved(AttemptObservation attempt, long now) {
        return coordinator == null ? attempt.role() : coordinator.onAttemptObserved(attempt, now);
    }

    /** The report of an attempt's end, with its role UNKNOWN where that is outdated. */
    LoadReport onLoadReport(String endpointId, LoadReport report, long now) {
        return coordinator == null ? report : coordinator.onLoadReport(endpointId, report, now);
    }

    void onAttemptEnded(BrokerEvent.AttemptEnded event, long now) {
        if (coordinator != null) {
            coordinator.onAttemptEnded(event.requestId(), event.result(), event.duration(), now);
        }
    }

    /** A health check's report, with its role UNKNOWN where that is outdated. */
    LoadReport onHealthCheckEnded(String endpointId, AttemptResult result, long duration, LoadReport report, long now) {
        return coordinator == null ? report : coordinator.onHealthCheckEnded(endpointId, result, duration, report, now);
    }

    /** The endpoint list without outdated claims to be primary. */
    List<Endpoint> onEndpointsUpdated(BrokerEvent.EndpointsUpdated event, long now) {
        return coordinator == null
                ? event.endpoints()
                : coordinator.onEndpointsUpdated(event.kind(), event.endpoints(), now);
    }

    /** The number of an endpoint's group, or NONE. */
    long groupIdOf(String endpointId) {
        return coordinator == null ? AbsentValue.NONE : coordinator.groupIdOf(endpointId);
    }

    /** Decides what follows from an event; {@code groupId} is the one group that it concerns, or NONE. */
    void decide(BrokerEvent event, long groupId, long now, FailoverActions actions) {
        if (coordinator == null) {
            return;
        }
        if (event instanceof BrokerEvent.FailoverTimerFired) {
            coordinator.onTimer(now, actions);
        } else if (event instanceof BrokerEvent.EndpointsUpdated) {
            coordinator.decideAll(now, actions);
        } else if (groupId != AbsentValue.NONE) {
            coordinator.decide(groupId, now, actions);
        }
    }
}
