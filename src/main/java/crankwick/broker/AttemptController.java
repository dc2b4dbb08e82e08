package crankwick.broker;

import crankwick.failover.AttemptObservation;
import crankwick.failover.AttemptPermit;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.HashMap;
import java.util.Map;

/** Sends and cancels attempts, and takes their outcomes. */
final class AttemptController {
    private final Reduction reduction;
    private final RoutingSettings settings;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final FailoverGate failover;
    private final BrokerCounters counters;

    AttemptController(
            Reduction reduction,
            RoutingSettings settings,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            FailoverGate failover,
            BrokerCounters counters) {
        this.reduction = reduction;
        this.settings = settings;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.failover = failover;
        this.counters = counters;
    }

    /** Sends an attempt, if the request's state, its times and its key allow one. */
    void send(ActiveRequest request, String endpointId) {
        long now = reduction.now();
        int attempt = request.nextAttempt();
        if (!request.mayBeginAttempt(now) || attempt >= settings.limits().maxAttempts()) {
            counters.count(AttemptResult.NOT_SENT);
            reportNotSent(request, attempt, endpointId);
            return;
        }
        AttemptPermit permit = failover.permitAttempt(request.id(), endpointId, now);
        if (permit != AttemptPermit.GRANTED) {
            lifecycle.answer(request, answerTo(request, permit));
            reportNotSent(request, attempt, endpointId);
            lifecycle.removeIfFinished(request);
            return;
        }
        request.beginAttempt(endpointId, now);
        counters.countSent();
        reduction.emit(new Effect.SendAttempt(
                request.id(), attempt, endpointId, request.expiresAt(), request.startDeadline()));
    }

    private static Reply answerTo(ActiveRequest request, AttemptPermit denial) {
        return denial == AttemptPermit.KEY_EXPIRED
                ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                : new Reply.Rejected(
                        Reply.Reason.OVER_KEYS, request.requestClass().latencyObjective());
    }

    private void reportNotSent(ActiveRequest request, int attempt, String endpointId) {
        reduction.addRoutingEvent(new AttemptOutcome(
                request.id(),
                attempt,
                request.isCompleted(),
                AttemptResult.NOT_SENT,
                0,
                endpointId,
                Role.UNKNOWN,
                AbsentValue.NONE,
                null));
    }

    /** The last byte of an attempt has been written. */
    void onWritten(BrokerEvent.AttemptWritten event) {
        ActiveRequest request = requests.find(event.requestId());
        if (request != null && request.isInFlight(event.attempt())) {
            request.markAttemptWritten(reduction.now());
        }
    }

    /** An attempt has ended; that of one which was cancelled before changes nothing. */
    void onEnded(BrokerEvent.AttemptEnded event) {
        ActiveRequest request = requests.find(event.requestId());
        if (request != null && request.isInFlight(event.attempt())) {
            end(request, event);
        }
    }

    /** Stops waiting for the attempt in flight, which ends with {@code result}. */
    void cancel(ActiveRequest request, AttemptResult result) {
        int attempt = request.currentAttempt();
        reduction.emit(new Effect.CancelAttempt(request.id(), attempt));
        long duration = reduction.now() - request.sentAt();
        end(
                request,
                new BrokerEvent.AttemptEnded(
                        request.id(), attempt, result, duration, Role.UNKNOWN, AbsentValue.NONE, null, null));
    }

    private void end(ActiveRequest request, BrokerEvent.AttemptEnded event) {
        long now = reduction.now();
        request.endAttempt(event.result(), now);
        counters.count(event.result());
        long position = PositionCheck.plausible(event.position(), now);
        Role role = failover.onAttemptObserved(
                new AttemptObservation(
                        request.endpointId(),
                        request.isWrite(),
                        request.sentAt(),
                        event.result(),
                        event.role(),
                        position),
                now);
        LoadReport report =
                failover.onLoadReport(request.endpointId(), PositionCheck.plausible(event.report(), now), now);
        failover.onAttemptEnded(event, now);
        if (event.result() == AttemptResult.OK) {
            lifecycle.answer(request, new Reply.Served(event.value(), request.isWrite(), position));
        }
        reduction.addRoutingEvent(new AttemptOutcome(
                event.requestId(),
                event.attempt(),
                request.isCompleted(),
                event.result(),
                event.duration(),
                request.endpointId(),
                role,
                position,
                report));
        lifecycle.removeIfFinished(request);
    }

    /** Attempts that are queued for an endpoint that is leaving are routed anew, once the router has the list. */
    void cancelQueuedAtLeavingEndpoints(BrokerEvent.EndpointsUpdated event) {
        Map<String, EndpointStatus> listed = new HashMap<>();
        event.endpoints().forEach(endpoint -> listed.put(endpoint.id(), endpoint.status()));
        EndpointStatus unlisted =
                event.kind() == EndpointUpdateKind.FULL ? EndpointStatus.REMOVED : EndpointStatus.LIVE;
        for (ActiveRequest request : requests.all()) {
            EndpointStatus status = listed.getOrDefault(request.endpointId(), unlisted);
            if (request.isAttemptQueued() && isLeaving(status)) {
                reduction.emit(new Effect.CancelQueuedAttempt(request.id()));
            }
        }
    }

    private boolean isLeaving(EndpointStatus status) {
        return status == EndpointStatus.DRAINING
                || status == EndpointStatus.REMOVED && !settings.rules().unlistedEndpointsUsable();
    }
}
