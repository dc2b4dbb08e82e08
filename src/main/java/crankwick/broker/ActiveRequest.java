package crankwick.broker;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;

/**
 * The state machine of one request, from its admission until it is completed and has no attempt in flight. Its state
 * changes only through the transition methods. Callers check {@link #mayBeginAttempt} and {@link #isCompleted} first,
 * so that a request has at most one attempt in flight and one reply:
 *
 * <pre>
 * request: (BUFFERED ->) ROUTED -> COMPLETED
 * attempt: NONE -> QUEUED (-> WRITTEN) -> NONE
 * </pre>
 */
final class ActiveRequest {
    private enum Phase {
        /** The request waits to be released by the failover coordinator and has not been passed to the router yet. */
        BUFFERED,
        /** The request has been passed to the router, which decides on its attempts. */
        ROUTED,
        /** The request has been replied to, or its client has abandoned it. */
        COMPLETED
    }

    private enum AttemptPhase {
        NONE,
        /**
         * The request's current attempt has been handed to the database pool; it may still be waiting for a connection.
         */
        QUEUED,
        /** The last byte of the request's current attempt has been written to the database connection. */
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
    private long sharedKeyWindowEnd = Long.MAX_VALUE;
    private boolean queuedCancelRequested;

    /** Creates a request that is admitted at {@code now}; it counts as routed unless {@link #buffer} is called. */
    ActiveRequest(ClientRequest request, RequestClass requestClass, TeamBudget budget, long expiresAt, long now) {
        this.request = request;
        this.requestClass = requestClass;
        this.budget = budget;
        this.expiresAt = expiresAt;
        history = new RequestHistory(request, now);
        budget.acquireOutstanding();
    }

    // ---- Transitions ---------------------------------------------------------------------------------

    /** Marks the request as buffered until the failover coordinator releases it. */
    void buffer() {
        phase = Phase.BUFFERED;
    }

    /** Marks a buffered request as passed to the router. */
    void release() {
        phase = Phase.ROUTED;
    }

    /** Marks the request as replied to or abandoned. Only this method releases its share of the team's budget. */
    void complete() {
        phase = Phase.COMPLETED;
        budget.releaseOutstanding();
    }

    /** Assigns and returns the number of the next attempt, from 0. Attempts that are not sent use up a number too. */
    int nextAttemptNumber() {
        return attempts++;
    }

    /** Records that the attempt with the last assigned number is sent. */
    void beginAttempt(String endpoint, long now) {
        attemptPhase = AttemptPhase.QUEUED;
        endpointId = endpoint;
        sentAt = now;
        history.recordSent(endpoint, now);
    }

    void markAttemptWritten(long now) {
        attemptPhase = AttemptPhase.WRITTEN;
        history.recordWritten(now);
    }

    void endAttempt(AttemptResult result, long now) {
        attemptPhase = AttemptPhase.NONE;
        history.recordEnded(result, now);
        if (mayHaveExecutedSince == AbsentValue.NONE && !result.provesNotExecuted()) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /** Records the end of the key window that attempts of other requests with the same key have started. */
    void limitKeyWindow(long end) {
        sharedKeyWindowEnd = Math.min(sharedKeyWindowEnd, end);
    }

    /** Records that cancellation of the queued attempt was requested at the deadline; it is requested only once. */
    void markQueuedCancelRequested() {
        queuedCancelRequested = true;
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

    /** True if the attempt with this number is in flight. */
    boolean isAttemptInFlight(int attempt) {
        return isAttemptInFlight() && attempt == currentAttemptNumber();
    }

    int currentAttemptNumber() {
        return attempts - 1;
    }

    /** True if the request is completed and has no attempt in flight. */
    boolean isFinished() {
        return isCompleted() && !isAttemptInFlight();
    }

    boolean isQueuedCancelRequested() {
        return queuedCancelRequested;
    }

    /** True if the request's state and its start deadline permit sending an attempt at {@code now}. */
    boolean mayBeginAttempt(long now) {
        return !isAttemptInFlight() && !isCompleted() && now < startDeadline();
    }

    /**
     * No attempt may begin at or after this time: the request's deadline or, if the request's class uses idempotency
     * keys and an attempt may have executed, the end of the key window if that is earlier.
     */
    long startDeadline() {
        return Math.min(expiresAt, keyWindowEnd());
    }

    /**
     * When databases stop discarding repeats of the attempts made so far, here and by other requests with the key;
     * {@code Long.MAX_VALUE} if the request's class does not use idempotency keys or no attempt may have executed.
     */
    long keyWindowEnd() {
        boolean hasKeyWindow =
                requestClass.idempotency() == Idempotency.WITH_KEY && mayHaveExecutedSince != AbsentValue.NONE;
        long end = hasKeyWindow ? mayHaveExecutedSince + requestClass.keyTtl() : Long.MAX_VALUE;
        return Math.min(end, sharedKeyWindowEnd);
    }

    boolean isWrite() {
        return requestClass.consistency() == ConsistencyLevel.WRITE;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** True if an attempt may have executed and a further execution would have another effect. */
    boolean mustNotExecuteAgain() {
        return requestClass.idempotency() == Idempotency.NON_IDEMPOTENT && mayHaveExecutedSince != AbsentValue.NONE;
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

    /** The endpoint of the attempt in flight or, if there is none, of the last attempt; null before the first. */
    String endpointId() {
        return endpointId;
    }

    /** When the attempt in flight or, if there is none, the last attempt was sent. */
    long sentAt() {
        return sentAt;
    }

    RequestHistory history() {
        return history;
    }
}
