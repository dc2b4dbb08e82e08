package crankwick.failover;

import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;

/**
 * A request that needs its group's primary, from its admission until it is answered or abandoned and has no attempt in
 * flight. Its phase only advances; phases may be skipped.
 */
final class TrackedRequest {
    private enum Phase {
        RECEIVED,
        BUFFERED,
        RELEASED,
        ANSWERED
    }

    private static final long NO_TERM = -1;

    private final IncomingRequest incomingRequest;
    private final RequestClass requestClass;
    private final GroupState group;
    private final long keyHash;
    private final long releaseDeadline;
    private Phase phase = Phase.RECEIVED;
    private long pacedInTerm = NO_TERM;
    private String attemptEndpoint;
    private long mayHaveExecutedSince = KeyRegistry.NEVER;
    private boolean attemptStartsKeyWindow;

    /**
     * Creates a request that has been received, and neither buffered nor released.
     *
     * @param keyHash the hash of the idempotency key in the {@link KeyRegistry}; unused if the request has no key
     * @param releaseDeadline the latest time at which the request can be released and still be answered in time
     */
    TrackedRequest(
            IncomingRequest incomingRequest,
            RequestClass requestClass,
            GroupState group,
            long keyHash,
            long releaseDeadline) {
        this.incomingRequest = incomingRequest;
        this.requestClass = requestClass;
        this.group = group;
        this.keyHash = keyHash;
        this.releaseDeadline = releaseDeadline;
    }

    /** Returns true if a request of this class and key is deduplicated by its key. */
    static boolean isKeyed(RequestClass requestClass, String idempotencyKey) {
        return requestClass.idempotency() == Idempotency.WITH_KEY && idempotencyKey != null;
    }

    boolean isKeyed() {
        return isKeyed(requestClass, incomingRequest.idempotencyKey());
    }

    /**
     * Returns true if a request with the same key may have executed and a repeat at another database may execute
     * again.
     */
    boolean hasUnknownOutcome() {
        return mayHaveExecuted() && requestClass.deduplicationScope() != DeduplicationScope.FLEET;
    }

    boolean mayHaveExecuted() {
        return mayHaveExecutedSince != KeyRegistry.NEVER;
    }

    void buffer() {
        phase = Phase.BUFFERED;
    }

    /** Marks the request as released without counting it in a release window. */
    void release() {
        phase = Phase.RELEASED;
    }

    /** Marks the request as released and counted in the release window of {@code term}. */
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

    /**
     * Returns true if the last attempt started the key window; if that attempt has not executed, no request with the
     * key has executed.
     */
    boolean attemptStartsKeyWindow() {
        return attemptStartsKeyWindow;
    }

    void setAttemptStartsKeyWindow(boolean starts) {
        attemptStartsKeyWindow = starts;
    }

    void setMayHaveExecutedSince(long time) {
        mayHaveExecutedSince = time;
    }

    /** Returns the send time of the key's first attempt that may have executed, or {@link KeyRegistry#NEVER}. */
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

    /** Returns true if the request is answered or abandoned and has no attempt in flight. */
    boolean isFinished() {
        return isAnswered() && !isAttemptInFlight();
    }

    boolean isPacedIn(long term) {
        return pacedInTerm == term;
    }

    /** Returns the endpoint at which an attempt is in flight, or null if there is none. */
    String attemptEndpoint() {
        return attemptEndpoint;
    }

    long requestId() {
        return incomingRequest.requestId();
    }

    IncomingRequest incomingRequest() {
        return incomingRequest;
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

    long releaseDeadline() {
        return releaseDeadline;
    }
}
