package crankwick.broker;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;

/**
 * The state machine of one request, from its admission until it is answered and has no attempt in flight. Only its
 * transitions change the state, so that there is one attempt in flight at most, and one answer:
 *
 * <pre>
 * request: (BUFFERED ->) ROUTED -> COMPLETED
 * attempt: NONE -> QUEUED (-> WRITTEN) -> NONE
 * </pre>
 */
final class ActiveRequest {
    private enum Phase {
        /** It waits for its group's leader; the router does not know it yet. */
        BUFFERED,
        /** The router decides on its attempts. */
        ROUTED,
        /** It has been answered, or its caller has left. */
        COMPLETED
    }

    private enum AttemptPhase {
        NONE,
        /** Sent; it may wait for its connection. */
        QUEUED,
        /** Its last byte has been written. */
        WRITTEN
    }

    private final ClientRequest request;
    private final RequestClass requestClass;
    private final TeamBudget budget;
    private final long expiresAt;
    private final RequestHistory history;
    private Phase phase = Phase.ROUTED;
    private AttemptPhase attemptPhase = AttemptPhase.NONE;
    private int attempts;
    private String endpointId;
    private long sentAt;
    private long mayHaveExecutedSince = AbsentValue.NONE;
    private boolean cancelledAtDeadline;

    /** A request that is admitted now and routed at once unless it is buffered. */
    ActiveRequest(ClientRequest request, RequestClass requestClass, TeamBudget budget, long expiresAt, long now) {
        this.request = request;
        this.requestClass = requestClass;
        this.budget = budget;
        this.expiresAt = expiresAt;
        history = new RequestHistory(request, now);
        budget.acquireOutstanding();
    }

    // ---- Transitions ---------------------------------------------------------------------------------

    /** Its group's leader is to be waited for before it is routed. */
    void buffer() {
        phase = Phase.BUFFERED;
    }

    /** The wait is over. */
    void release() {
        phase = Phase.ROUTED;
    }

    /** Its caller is owed nothing any more; the one place where its share of the budget is returned. */
    void complete() {
        phase = Phase.COMPLETED;
        budget.releaseOutstanding();
    }

    /** Numbers the next attempt, whether or not it will be sent. */
    int nextAttempt() {
        return attempts++;
    }

    /** The attempt that was numbered last is sent. */
    void beginAttempt(String endpoint, long now) {
        attemptPhase = AttemptPhase.QUEUED;
        endpointId = endpoint;
        sentAt = now;
        history.sent(endpoint, now);
    }

    void markAttemptWritten(long now) {
        attemptPhase = AttemptPhase.WRITTEN;
        history.written(now);
    }

    void endAttempt(AttemptResult result, long now) {
        attemptPhase = AttemptPhase.NONE;
        history.ended(result, now);
        if (mayHaveExecutedSince == AbsentValue.NONE && !result.provesNotExecuted()) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /** Past its deadline, its queued attempt has been cancelled, which happens once. */
    void markCancelledAtDeadline() {
        cancelledAtDeadline = true;
    }

    // ---- State ---------------------------------------------------------------------------------------

    boolean isBuffered() {
        return phase == Phase.BUFFERED;
    }

    boolean isCompleted() {
        return phase == Phase.COMPLETED;
    }

    boolean isAttemptInFlight() {
        return attemptPhase != AttemptPhase.NONE;
    }

    boolean isAttemptQueued() {
        return attemptPhase == AttemptPhase.QUEUED;
    }

    boolean isAttemptWritten() {
        return attemptPhase == AttemptPhase.WRITTEN;
    }

    /** True if the attempt of this number is in flight. */
    boolean isInFlight(int attempt) {
        return isAttemptInFlight() && attempt == currentAttempt();
    }

    int currentAttempt() {
        return attempts - 1;
    }

    /** True if it is completed and nothing of it is in flight. */
    boolean isFinished() {
        return isCompleted() && !isAttemptInFlight();
    }

    boolean isCancelledAtDeadline() {
        return cancelledAtDeadline;
    }

    /** True if an attempt may be sent now, by its state and its times. */
    boolean mayBeginAttempt(long now) {
        return !isAttemptInFlight() && !isCompleted() && now < startDeadline();
    }

    /** From when on no attempt may begin: its deadline, or the end of its key's window if it may have executed. */
    long startDeadline() {
        boolean retry = requestClass.idempotency() == Idempotency.WITH_KEY && mayHaveExecutedSince != AbsentValue.NONE;
        return retry ? Math.min(expiresAt, mayHaveExecutedSince + requestClass.keyTtl()) : expiresAt;
    }

    boolean isWrite() {
        return requestClass.consistency() == ConsistencyLevel.WRITE;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    long id() {
        return request.requestId();
    }

    ClientRequest request() {
        return request;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    long expiresAt() {
        return expiresAt;
    }

    /** Where its attempt in flight, or its last one, was sent; null before the first. */
    String endpointId() {
        return endpointId;
    }

    /** When its attempt in flight, or its last one, was sent. */
    long sentAt() {
        return sentAt;
    }

    RequestHistory history() {
        return history;
    }
}
