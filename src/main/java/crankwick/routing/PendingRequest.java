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
    /** Final answers are given so long before the client's deadline. */
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
    /** Where an attempt may have been executed, and when it was sent. */
    private EndpointState possiblyExecutedAt;

    private long possiblyExecutedSince;

    /**
     * Creates a request without attempts.
     *
     * @param sessionToken the position that a session read must see; the smallest long for other requests
     * @param firstSentAt when the client sent its first attempt, of which this may be a retry
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

    /** When the attempt in flight is to be looked at, because it takes long. */
    long nextCheckAt() {
        return nextCheckAt;
    }

    /** Whether it needs no further answer: it has had one, or its client has disconnected. */
    boolean isClosed() {
        return closed;
    }

    EndpointState possiblyExecutedAt() {
        return possiblyExecutedAt;
    }

    long possiblyExecutedSince() {
        return possiblyExecutedSince;
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

    /** When the class's latency objective ends, counted from the client's first attempt. */
    long objectiveEndsAt() {
        return firstSentAt + requestClass.latencyObjective();
    }

    /** The last moment at which an answer has any value. */
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

    /** Whether the outcome is that of the attempt in flight. */
    boolean isCurrentAttempt(AttemptOutcome outcome) {
        return endpoint != null && endpoint.id().equals(outcome.endpointId()) && outcome.attempt() == attempts - 1;
    }

    void scheduleCheck(long checkAt) {
        nextCheckAt = checkAt;
    }

    /** Notes that the last attempt may have been executed; the first such attempt counts. */
    void recordPossibleExecution(EndpointState target) {
        if (possiblyExecutedAt == null) {
            possiblyExecutedAt = target;
            possiblyExecutedSince = attemptSentAt;
        }
    }

    void addAttempted(EndpointState target) {
        attemptedEndpoints.add(target);
    }

    boolean hasAttempted(EndpointState target) {
        return attemptedEndpoints.contains(target);
    }

    void markClosed() {
        closed = true;
    }
}
