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

/** Delegates to the failover coordinator; without a coordinator, only the router handles failovers. */
final class FailoverDelegate {
    private final FailoverCoordinator coordinator;

    /** Creates a delegate; {@code coordinator} is null if only the router handles failovers. */
    FailoverDelegate(FailoverCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    /** The failover coordinator; null if there is none. */
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

    /**
     * The rejection of a request because its group is not expected to have a leader in time, or a buffer limit is
     * exceeded.
     */
    Reply noPrimaryReply(ClientRequest request, long now) {
        long retryAfter = coordinator.retryAfter(request.groupId(), request.classIndex(), now);
        return new Reply.Rejected(Reply.Reason.NO_PRIMARY, retryAfter);
    }

    AttemptPermit permitAttempt(long requestId, String endpointId, long now) {
        return coordinator == null ? AttemptPermit.GRANTED : coordinator.permitAttempt(requestId, endpointId, now);
    }

    /**
     * When databases stop discarding repeats of the request's key, by the attempts of all requests with this key;
     * {@code Long.MAX_VALUE} if none of them may have executed or there is no coordinator.
     */
    long keyWindowEnd(long requestId) {
        return coordinator == null ? Long.MAX_VALUE : coordinator.keyWindowEnd(requestId);
    }

    /**
     * True if a request with this request's key may have executed and a repeat may execute again, so that a retry must
     * not be reported as safe.
     */
    boolean hasUnknownOutcome(long requestId) {
        return coordinator != null && coordinator.hasUnknownOutcome(requestId);
    }

    void onCompleted(long requestId) {
        if (coordinator != null) {
            coordinator.onRequestCompleted(requestId);
        }
    }

    /** Evaluates an attempt's outcome and returns the role that it reported, UNKNOWN if that is outdated. */
    Role onAttemptObserved(AttemptObservation attempt, long now) {
        return coordinator == null ? attempt.role() : coordinator.onAttemptObserved(attempt, now);
    }

    /** Evaluates the load report of an attempt and returns it, with the role UNKNOWN if that is outdated. */
    LoadReport onLoadReport(String endpointId, LoadReport report, long now) {
        return coordinator == null ? report : coordinator.onLoadReport(endpointId, report, now);
    }

    void onAttemptEnded(BrokerEvent.AttemptEnded event, long now) {
        if (coordinator != null) {
            coordinator.onAttemptEnded(event.requestId(), event.result(), event.duration(), now);
        }
    }

    /** Evaluates a health check and returns its load report, with the role UNKNOWN if that is outdated. */
    LoadReport onHealthCheckEnded(String endpointId, AttemptResult result, long duration, LoadReport report, long now) {
        return coordinator == null ? report : coordinator.onHealthCheckEnded(endpointId, result, duration, report, now);
    }

    /** Evaluates an endpoint update and returns its endpoints, with outdated PRIMARY roles replaced by UNKNOWN. */
    List<Endpoint> onEndpointsUpdated(BrokerEvent.EndpointsUpdated event, long now) {
        return coordinator == null
                ? event.endpoints()
                : coordinator.onEndpointsUpdated(event.kind(), event.endpoints(), now);
    }

    /** The ID of an endpoint's group; NONE if the endpoint is unknown or there is no coordinator. */
    long groupIdOf(String endpointId) {
        return coordinator == null ? AbsentValue.NONE : coordinator.groupIdOf(endpointId);
    }

    /**
     * Makes the coordinator's decisions after an event: for all groups after an endpoint update or the failover timer,
     * otherwise for the group {@code groupId} or, if that is NONE, for no group.
     */
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
