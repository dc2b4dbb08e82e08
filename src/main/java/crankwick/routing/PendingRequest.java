package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingRequest;
import java.util.ArrayList;
import java.util.List;

/** A request that has no final answer yet, or whose attempt is still in flight. */
final class PendingRequest {
    /** Final answers are given at least this long before the client's deadline. */
    static final long RESPONSE_MARGIN_MICROS = 30 * MICROS_PER_MILLI;

    private final RoutingRequest request;
    private final RequestClass requestClass;
    private final EndpointGroup group;
    private final long sessionToken;
    private final long firstSentAt;
    private final List<EndpointState> attemptedEndpoints = new ArrayList<>(2);
    private int attempts;
    private EndpointState endpoint;
    private long attemptSentAt;
    private long nextCheckAt;
    private boolean closed;
    /**
     * The endpoint of the first attempt that may have been executed, or null, and the time when that attempt was sent.
     */
    private EndpointState possibleExecutionEndpoint;

    private long possibleExecutionSince;

    /**
     * Creates a request without attempts.
     *
     * @param sessionToken the position that a session read must see; {@link Long#MIN_VALUE} for other requests
     * @param firstSentAt when the client first sent the request; earlier than its arrival if this is a client retry
     */
    PendingRequest(
            RoutingRequest request,
            RequestClass requestClass,
            EndpointGroup group,
            long sessionToken,
            long firstSentAt) {
        this.request = request;
        this.requestClass = requestClass;
        this.group = group;
        this.sessionToken = sessionToken;
        this.firstSentAt = firstSentAt;
    }

    long id() {
        return request.requestId();
    }

    int classIndex() {
        return request.classIndex();
    }

    long expiresAt() {
        return request.expiresAt();
    }

    long sessionId() {
        return request.sessionId();
    }

    RequestClass requestClass() {
        return requestClass;
    }

    EndpointGroup group() {
        return group;
    }

    long sessionToken() {
        return sessionToken;
    }

    int attempts() {
        return attempts;
    }

    /** The endpoint of the attempt in flight, or null. */
    EndpointState endpoint() {
        return endpoint;
    }

    long attemptSentAt() {
        return attemptSentAt;
    }

    /** When the attempt in flight is next checked for running too long; {@link Long#MAX_VALUE} for never. */
    long nextCheckAt() {
        return nextCheckAt;
    }

    /**
     * Whether the request needs no answer: it has been answered, its response has started, or its client has abandoned
     * it.
     */
    boolean isClosed() {
        return closed;
    }

    EndpointState possibleExecutionEndpoint() {
        return possibleExecutionEndpoint;
    }

    long possibleExecutionSince() {
        return possibleExecutionSince;
    }

    boolean isIdempotent() {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    boolean isWrite() {
        return requestClass.consistency() == ConsistencyLevel.WRITE;
    }

    boolean needsPrimary() {
        return isWrite() || requestClass.consistency() == ConsistencyLevel.STRONG;
    }

    /** When the latency objective ends, counted from the client's first attempt. */
    long objectiveEndsAt() {
        return firstSentAt + requestClass.latencyObjective();
    }

    /** The latest time at which an answer has any value. */
    long lastUsefulAt() {
        long last = expiresAt() - RESPONSE_MARGIN_MICROS;
        return requestClass.lateWeight() > 0 ? last : Math.min(last, objectiveEndsAt());
    }

    /** Whether a response that arrives at {@code time} meets the latency objective. */
    boolean meetsObjectiveAt(double time) {
        return time < objectiveEndsAt();
    }

    void startAttempt(EndpointState target, long checkAt, long now) {
        attempts++;
        endpoint = target;
        attemptSentAt = now;
        nextCheckAt = checkAt;
        group.inFlight().put(id(), this);
    }

    void endAttempt() {
        endpoint = null;
        group.inFlight().remove(id());
    }

    /** Whether the outcome belongs to the attempt in flight. */
    boolean isCurrentAttempt(AttemptOutcome outcome) {
        return endpoint != null && endpoint.id().equals(outcome.endpointId()) && outcome.attempt() == attempts - 1;
    }

    void scheduleCheck(long checkAt) {
        nextCheckAt = checkAt;
    }

    /** Records that the last attempt may have been executed; only the first such attempt is recorded. */
    void recordPossibleExecution(EndpointState target) {
        if (possibleExecutionEndpoint == null) {
            possibleExecutionEndpoint = target;
            possibleExecutionSince = attemptSentAt;
        }
    }

    void addAttemptedEndpoint(EndpointState target) {
        attemptedEndpoints.add(target);
    }

    boolean hasAttempted(EndpointState target) {
        return attemptedEndpoints.contains(target);
    }

    void markClosed() {
        closed = true;
    }
}
