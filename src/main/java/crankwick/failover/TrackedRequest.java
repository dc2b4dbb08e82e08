package crankwick.failover;

import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;

/**
 * A request that needs its group's primary, from its admission until it is answered and has no attempt in flight.
 * Its phase only moves forward; a phase may be skipped.
 */
final class TrackedRequest {
    private enum Phase {
        ARRIVED,
        BUFFERED,
        RELEASED,
        ANSWERED
    }

    private static final long NO_TERM = -1;

    private final IncomingRequest arrival;
    private final RequestClass requestClass;
    private final GroupState group;
    private final long keyHash;
    private final long usefulUntil;
    private Phase phase = Phase.ARRIVED;
    private long pacedInTerm = NO_TERM;
    private String attemptEndpoint;
    private long mayHaveExecutedSince = KeyRegistry.NEVER;
    private boolean attemptStartsKeyWindow;

    /**
     * A request that has neither been buffered nor released yet.
     *
     * @param keyHash its key's hash in the {@link KeyRegistry}; of no meaning without a key
     * @param usefulUntil the last moment at which releasing it can still earn its answer
     */
    TrackedRequest(
            IncomingRequest arrival, RequestClass requestClass, GroupState group, long keyHash, long usefulUntil) {
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.group = group;
        this.keyHash = keyHash;
        this.usefulUntil = usefulUntil;
    }

    /** Whether a request of this class and key is deduplicated by its key. */
    static boolean isKeyed(RequestClass requestClass, String idempotencyKey) {
        return requestClass.idempotency() == Idempotency.WITH_KEY && idempotencyKey != null;
    }

    boolean isKeyed() {
        return isKeyed(requestClass, arrival.idempotencyKey());
    }

    /** True if its key may have executed, by whatever request, and a repeat elsewhere may execute it again. */
    boolean hasUnknownOutcome() {
        return mayHaveExecuted() && requestClass.deduplicationScope() != DeduplicationScope.FLEET;
    }

    boolean mayHaveExecuted() {
        return mayHaveExecutedSince != KeyRegistry.NEVER;
    }

    void buffer() {
        phase = Phase.BUFFERED;
    }

    /** It goes to the router, outside the group's release window. */
    void release() {
        phase = Phase.RELEASED;
    }

    /** It goes to the router as one of those that the release window of {@code term} counts. */
    void releasePaced(long term) {
        phase = Phase.RELEASED;
        pacedInTerm = term;
    }

    void answer() {
        phase = Phase.ANSWERED;
    }

    void beginAttempt(String endpointId) {
        attemptEndpoint = endpointId;
    }

    void endAttempt() {
        attemptEndpoint = null;
    }

    /** True if the attempt to come is the one that starts its key's window: its failure to execute ends the doubt. */
    boolean attemptStartsKeyWindow() {
        return attemptStartsKeyWindow;
    }

    void setAttemptStartsKeyWindow(boolean starts) {
        attemptStartsKeyWindow = starts;
    }

    void setMayHaveExecutedSince(long time) {
        mayHaveExecutedSince = time;
    }

    /** When the first attempt of its key that may have executed was sent, or {@link KeyRegistry#NEVER}. */
    long mayHaveExecutedSince() {
        return mayHaveExecutedSince;
    }

    boolean isBuffered() {
        return phase == Phase.BUFFERED;
    }

    boolean isAnswered() {
        return phase == Phase.ANSWERED;
    }

    boolean isAttemptInFlight() {
        return attemptEndpoint != null;
    }

    /** True if it is answered and nothing of it is in flight. */
    boolean isFinished() {
        return isAnswered() && !isAttemptInFlight();
    }

    boolean isPacedIn(long term) {
        return pacedInTerm == term;
    }

    /** Where its attempt is in flight; null for none. */
    String attemptEndpoint() {
        return attemptEndpoint;
    }

    long requestId() {
        return arrival.requestId();
    }

    IncomingRequest arrival() {
        return arrival;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    GroupState group() {
        return group;
    }

    long keyHash() {
        return keyHash;
    }

    long usefulUntil() {
        return usefulUntil;
    }
}
