package crankwick.broker;

import crankwick.failover.FailoverAdmission;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import java.util.List;

/** Receives requests, replies to them and removes them when they are finished. */
final class RequestLifecycle {
    private final ReductionContext context;
    private final List<RequestClass> requestClasses;
    private final AdmissionController admission;
    private final ActiveRequests requests;
    private final FailoverDelegate failover;
    private final BrokerCounters counters;
    private final RequestHistoryLog historyLog = new RequestHistoryLog();

    RequestLifecycle(
            ReductionContext context,
            List<RequestClass> requestClasses,
            AdmissionController admission,
            ActiveRequests requests,
            FailoverDelegate failover,
            BrokerCounters counters) {
        this.context = context;
        this.requestClasses = requestClasses;
        this.admission = admission;
        this.requests = requests;
        this.failover = failover;
        this.counters = counters;
    }

    /** Admits a request if its team's contract and its group's failover state permit it, or replies at once. */
    void receive(ClientRequest request) {
        counters.countReceived();
        boolean idInUse = requests.isClientRequestIdInUse(request.clientRequestId(), context.now());
        AdmissionDecision decision = admission.decide(request, idInUse, context.now());
        if (decision instanceof AdmissionDecision.Denied denied) {
            deny(request, denied.reply());
        } else if (decision instanceof AdmissionDecision.Admitted admitted) {
            accept(request, admitted);
        }
    }

    private void accept(ClientRequest request, AdmissionDecision.Admitted admitted) {
        long now = context.now();
        long expiresAt = now + admitted.timeout();
        FailoverAdmission failoverAdmission = failover.admit(request, expiresAt, now);
        if (failoverAdmission == FailoverAdmission.REJECT) {
            deny(request, failover.noPrimaryReply(request, now));
            return;
        }
        if (failoverAdmission == FailoverAdmission.FAIL) {
            deny(request, new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
            return;
        }
        RequestClass requestClass = requestClasses.get(request.classIndex());
        ActiveRequest active = new ActiveRequest(request, requestClass, admitted.budget(), expiresAt, now);
        requests.add(active);
        BrokerEvent deadline = new BrokerEvent.DeadlineReached(request.requestId());
        context.emit(new Effect.ScheduleTimer(admitted.timeout(), deadline));
        if (failoverAdmission == FailoverAdmission.BUFFER) {
            active.buffer();
        } else {
            route(active);
        }
    }

    /** Replies to a request that is not admitted. */
    private void deny(ClientRequest request, Reply reply) {
        emitReply(request.requestId(), reply);
        RequestHistory history = new RequestHistory(request, context.now());
        history.recordReply(reply, context.now());
        log(history);
    }

    /** Passes a buffered request to the router. */
    void release(ActiveRequest active) {
        active.release();
        route(active);
    }

    private void route(ActiveRequest active) {
        ClientRequest request = active.request();
        long tokenAge = request.requiredPosition() == AbsentValue.NONE
                ? AbsentValue.NONE
                : Math.max(1, context.now() - request.requiredPosition());
        context.addRoutingEvent(new RoutingRequest(
                request.requestId(),
                request.classIndex(),
                request.groupId(),
                request.sessionId(),
                tokenAge,
                active.expiresAt()));
    }

    /** Sends the final reply unless the request is already completed. */
    void reply(ActiveRequest active, Reply reply) {
        if (!active.isCompleted()) {
            complete(active);
            active.history().recordReply(reply, context.now());
            emitReply(active.id(), reply);
        }
    }

    /** Sends the final reply unless the request is already completed, and makes the router abandon the request. */
    void replyAndAbandon(ActiveRequest active, Reply reply) {
        reply(active, reply);
        context.addRoutingEvent(new RequestAbandoned(active.id()));
        removeIfFinished(active);
    }

    /**
     * Handles a request that its client has abandoned: cancels its queued attempt, but lets an attempt that has begun
     * continue.
     */
    void abandon(BrokerEvent.RequestAbandoned event) {
        ActiveRequest active = requests.find(event.requestId());
        if (active == null || active.isCompleted()) {
            return;
        }
        counters.count(event.reason());
        active.history().recordAbandoned(event.reason(), context.now());
        complete(active);
        if (active.isAttemptQueued()) {
            context.emit(new Effect.CancelQueuedAttempt(active.id()));
        }
        context.addRoutingEvent(new RequestAbandoned(active.id()));
        removeIfFinished(active);
    }

    private void complete(ActiveRequest active) {
        active.complete();
        failover.onCompleted(active.id());
    }

    private void emitReply(long requestId, Reply reply) {
        counters.count(reply);
        context.emit(new Effect.SendReply(requestId, reply));
    }

    /**
     * Removes a request that is completed and has no attempt in flight, and logs its history unless its first attempt
     * served it or the rate limit for histories is exceeded.
     */
    void removeIfFinished(ActiveRequest active) {
        if (active.isFinished() && requests.remove(active, context.now())) {
            context.emit(new Effect.CancelRequestTimers(active.id()));
            log(active.history());
        }
    }

    private void log(RequestHistory history) {
        String line = historyLog.logLineFor(history, context.now());
        if (line != null) {
            context.emit(new Effect.Log(line));
        }
    }
}
