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

/** Sends and cancels attempts, and handles their outcomes. */
final class AttemptController {
    private final ReductionContext context;
    private final RoutingSettings settings;
    private final ActiveRequests requests;
    private final RequestLifecycle lifecycle;
    private final FailoverDelegate failover;
    private final BrokerCounters counters;

    AttemptController(
            ReductionContext context,
            RoutingSettings settings,
            ActiveRequests requests,
            RequestLifecycle lifecycle,
            FailoverDelegate failover,
            BrokerCounters counters) {
        this.context = context;
        this.settings = settings;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.failover = failover;
        this.counters = counters;
    }

    /**
     * Sends an attempt if the request's state, start deadline, number of attempts and idempotency key permit it.
     * Otherwise reports NOT_SENT to the router; if the idempotency key is the obstacle, also sends the final reply.
     */
    void send(ActiveRequest request, String endpointId) {
        long now = context.now();
        int attempt = request.nextAttemptNumber();
        if (!request.mayBeginAttempt(now) || attempt >= settings.limits().maxAttempts()) {
            counters.count(AttemptResult.NOT_SENT);
            reportNotSent(request, attempt, endpointId);
            return;
        }
        AttemptPermit permit = failover.permitAttempt(request.id(), endpointId, now);
        if (permit != AttemptPermit.GRANTED) {
            lifecycle.reply(request, denialReply(request, permit));
            reportNotSent(request, attempt, endpointId);
            lifecycle.removeIfFinished(request);
            return;
        }
        request.limitKeyWindow(failover.keyWindowEnd(request.id()));
        request.beginAttempt(endpointId, now);
        counters.countAttemptSent();
        context.emit(new Effect.SendAttempt(
                request.id(), attempt, endpointId, request.expiresAt(), request.startDeadline()));
        if (request.keyWindowEnd() < request.expiresAt()) {
            context.emit(new Effect.ScheduleTimer(
                    request.keyWindowEnd() - now, new BrokerEvent.KeyWindowEnded(request.id(), attempt)));
        }
    }

    private static Reply denialReply(ActiveRequest request, AttemptPermit denial) {
        return denial == AttemptPermit.KEY_EXPIRED
                ? new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)
                : new Reply.Rejected(
                        Reply.Reason.OVER_KEYS, request.requestClass().latencyObjective());
    }

    private void reportNotSent(ActiveRequest request, int attempt, String endpointId) {
        context.addRoutingEvent(new AttemptOutcome(
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

    /** Records that the last byte of an attempt has been written to the database connection. */
    void onWritten(BrokerEvent.AttemptWritten event) {
        ActiveRequest request = requests.find(event.requestId());
        if (request != null && request.isAttemptInFlight(event.attempt())) {
            request.markAttemptWritten(context.now());
        }
    }

    /** Handles the end of an attempt; the end of an attempt that has already been cancelled is ignored. */
    void onEnded(BrokerEvent.AttemptEnded event) {
        ActiveRequest request = requests.find(event.requestId());
        if (request != null && request.isAttemptInFlight(event.attempt())) {
            end(request, event);
        }
    }

    /**
     * Fails a request whose attempt is still unanswered when its key window ends, and cancels the attempt. The database
     * may not have received all of it yet, even if it has been written completely, and would execute it again if the
     * rest arrived from now on.
     */
    void onKeyWindowEnded(BrokerEvent.KeyWindowEnded event) {
        ActiveRequest request = requests.find(event.requestId());
        if (request != null && request.isAttemptInFlight(event.attempt())) {
            if (!request.isCompleted()) {
                lifecycle.reply(request, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
            }
            cancel(request, AttemptResult.CANCELLED);
        }
    }

    /** Cancels the attempt in flight and ends it with {@code result}. */
    void cancel(ActiveRequest request, AttemptResult result) {
        int attempt = request.currentAttemptNumber();
        context.emit(new Effect.CancelAttempt(request.id(), attempt));
        long duration = context.now() - request.sentAt();
        end(
                request,
                new BrokerEvent.AttemptEnded(
                        request.id(), attempt, result, duration, Role.UNKNOWN, AbsentValue.NONE, null, null));
    }

    private void end(ActiveRequest request, BrokerEvent.AttemptEnded event) {
        long now = context.now();
        request.endAttempt(event.result(), now);
        counters.count(event.result());
        long position = LogPositionFilter.discardImplausible(event.position(), now);
        Role role = failover.onAttemptObserved(
                new AttemptObservation(
                        request.endpointId(),
                        request.isWrite(),
                        request.sentAt(),
                        event.result(),
                        event.role(),
                        position),
                now);
        LoadReport report = failover.onLoadReport(
                request.endpointId(), LogPositionFilter.discardImplausible(event.report(), now), now);
        failover.onAttemptEnded(event, now);
        if (event.result() == AttemptResult.OK) {
            lifecycle.reply(request, new Reply.Served(event.value(), request.isWrite(), position));
        }
        context.addRoutingEvent(new AttemptOutcome(
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

    /**
     * Requests the cancellation of queued attempts at draining endpoints and, unless the rules permit the use of
     * removed endpoints, at removed ones. The router handles the endpoint update first, and chooses another endpoint
     * for each request when it receives the outcome of the cancelled attempt.
     */
    void cancelQueuedAttemptsAtUnusableEndpoints(BrokerEvent.EndpointsUpdated event) {
        Map<String, EndpointStatus> listedStatuses = new HashMap<>();
        event.endpoints().forEach(endpoint -> listedStatuses.put(endpoint.id(), endpoint.status()));
        EndpointStatus unlistedStatus =
                event.kind() == EndpointUpdateKind.FULL ? EndpointStatus.REMOVED : EndpointStatus.LIVE;
        for (ActiveRequest request : requests.all()) {
            EndpointStatus status = listedStatuses.getOrDefault(request.endpointId(), unlistedStatus);
            if (request.isAttemptQueued() && isUnusable(status)) {
                context.emit(new Effect.CancelQueuedAttempt(request.id()));
            }
        }
    }

    private boolean isUnusable(EndpointStatus status) {
        return status == EndpointStatus.DRAINING
                || status == EndpointStatus.REMOVED && !settings.rules().unlistedEndpointsUsable();
    }
}
