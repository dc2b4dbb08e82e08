package crankwick.broker;

import crankwick.failover.FailoverAdmission;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import java.util.List;

/** Receives, answers and finishes requests. */
final class RequestLifecycle {
    private final Reduction reduction;
    private final List<RequestClass> requestClasses;
    private final AdmissionController admission;
    private final ActiveRequests requests;
    private final FailoverGate failover;
    private final BrokerCounters counters;
    private final RequestHistoryLog historyLog = new RequestHistoryLog();

    RequestLifecycle(
            Reduction reduction,
            List<RequestClass> requestClasses,
            AdmissionController admission,
            ActiveRequests requests,
            FailoverGate failover,
            BrokerCounters counters) {
        this.reduction = reduction;
        this.requestClasses = requestClasses;
        this.admission = admission;
        this.requests = requests;
        this.failover = failover;
        this.counters = counters;
    }

    /** Admits a request by its team's contract and its group's state, or answers it at once. */
    void receive(ClientRequest request) {
        counters.countReceived();
        boolean idInUse = requests.isClientRequestIdInUse(request.clientRequestId());
        AdmissionDecision decision = admission.decide(request, idInUse, reduction.now());
        if (decision instanceof AdmissionDecision.Denied denied) {
            reply(request.requestId(), denied.reply());
        } else if (decision instanceof AdmissionDecision.Admitted admitted) {
            accept(request, admitted);
        }
    }

    private void accept(ClientRequest request, AdmissionDecision.Admitted admitted) {
        long now = reduction.now();
        long expiresAt = now + admitted.timeout();
        FailoverAdmission failoverAdmission = failover.admit(request, expiresAt, now);
        if (failoverAdmission == FailoverAdmission.REJECT) {
            reply(request.requestId(), failover.noPrimary(request, now));
            return;
        }
        if (failoverAdmission == FailoverAdmission.FAIL) {
            reply(request.requestId(), new Reply.Failed(Reply.Reason.KEY_IN_DOUBT));
            return;
        }
        RequestClass requestClass = requestClasses.get(request.classIndex());
        ActiveRequest active = new ActiveRequest(request, requestClass, admitted.budget(), expiresAt, now);
        requests.add(active);
        BrokerEvent deadline = new BrokerEvent.DeadlineReached(request.requestId());
        reduction.emit(new Effect.ScheduleTimer(admitted.timeout(), deadline));
        if (failoverAdmission == FailoverAdmission.BUFFER) {
            active.buffer();
        } else {
            route(active);
        }
    }

    /** A buffered request goes to the router. */
    void release(ActiveRequest active) {
        active.release();
        route(active);
    }

    private void route(ActiveRequest active) {
        ClientRequest request = active.request();
        long tokenAge = request.requiredPosition() == AbsentValue.NONE
                ? AbsentValue.NONE
                : Math.max(1, reduction.now() - request.requiredPosition());
        reduction.addRoutingEvent(new RoutingRequest(
                request.requestId(),
                request.classIndex(),
                request.groupId(),
                request.sessionId(),
                tokenAge,
                active.expiresAt()));
    }

    /** Gives a request its final answer, unless it has one. */
    void answer(ActiveRequest active, Reply reply) {
        if (!active.isCompleted()) {
            complete(active);
            active.history().answered(reply, reduction.now());
            reply(active.id(), reply);
        }
    }

    /** Gives a request its final answer; the router is not to work on it any more. */
    void answerAndAbandon(ActiveRequest active, Reply reply) {
        answer(active, reply);
        reduction.addRoutingEvent(new RequestAbandoned(active.id()));
        removeIfFinished(active);
    }

    /** The caller has left; what has begun goes on. */
    void abandon(BrokerEvent.RequestAbandoned event) {
        ActiveRequest active = requests.find(event.requestId());
        if (active == null || active.isCompleted()) {
            return;
        }
        counters.count(event.reason());
        active.history().abandoned(event.reason(), reduction.now());
        complete(active);
        if (active.isAttemptQueued()) {
            reduction.emit(new Effect.CancelQueuedAttempt(active.id()));
        }
        reduction.addRoutingEvent(new RequestAbandoned(active.id()));
        removeIfFinished(active);
    }

    private void complete(ActiveRequest active) {
        active.complete();
        failover.onCompleted(active.id());
    }

    private void reply(long requestId, Reply reply) {
        counters.count(reply);
        reduction.emit(new Effect.SendReply(requestId, reply));
    }

    /** Forgets a request that is answered and has no attempt in flight. */
    void removeIfFinished(ActiveRequest active) {
        if (active.isFinished() && requests.remove(active)) {
            String line = historyLog.lineFor(active.history(), reduction.now());
            if (line != null) {
                reduction.emit(new Effect.Log(line));
            }
        }
    }
}
