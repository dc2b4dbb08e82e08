package crankwick.simulation;

/** Audit state of a client's request. */
final class AuditedRequest {
    private static final long NEVER = Long.MAX_VALUE;

    private enum State {
        OPEN,
        SERVED,
        NOT_SERVED,
        /** The proxy process ended before it replied to the request. */
        LOST
    }

    private final long requestId;
    private final int group;
    private final String idempotencyKey;
    private final long receivedAt;
    private final long deadline;
    private State state = State.OPEN;
    private boolean inFlight;
    private String endpointId;
    private long sentAt;
    private long mayHaveExecutedSince = NEVER;
    private Reachability reachability = Reachability.UNKNOWN;

    /** Creates an open request; {@code idempotencyKey} is null for a read. */
    AuditedRequest(long requestId, int group, String idempotencyKey, long receivedAt, long deadline) {
        this.requestId = requestId;
        this.group = group;
        this.idempotencyKey = idempotencyKey;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
    }

    long requestId() {
        return requestId;
    }

    int group() {
        return group;
    }

    String idempotencyKey() {
        return idempotencyKey;
    }

    boolean isWrite() {
        return idempotencyKey != null;
    }

    long receivedAt() {
        return receivedAt;
    }

    long deadline() {
        return deadline;
    }

    boolean isClosed() {
        return state != State.OPEN;
    }

    boolean isServed() {
        return state == State.SERVED;
    }

    boolean isLost() {
        return state == State.LOST;
    }

    void recordReply(boolean served) {
        state = served ? State.SERVED : State.NOT_SERVED;
    }

    void markLost() {
        state = State.LOST;
    }

    boolean isInFlight() {
        return inFlight;
    }

    /** The endpoint of the last attempt. */
    String endpointId() {
        return endpointId;
    }

    void startAttempt(String endpoint, long now) {
        inFlight = true;
        endpointId = endpoint;
        sentAt = now;
    }

    void endAttempt(boolean mayHaveExecuted) {
        inFlight = false;
        if (mayHaveExecuted && mayHaveExecutedSince == NEVER) {
            mayHaveExecutedSince = sentAt;
        }
    }

    /** Whether an attempt that ended without success may have been executed. */
    boolean mayHaveExecuted() {
        return mayHaveExecutedSince != NEVER;
    }

    /**
     * Whether an ended attempt may have been executed and the TTL of the request's key, counted from the sending of the
     * first such attempt, has ended at the given time.
     */
    boolean isKeyExpired(long ttl, long at) {
        return mayHaveExecuted() && at >= mayHaveExecutedSince + ttl;
    }

    /**
     * Like {@link #isKeyExpired}, but also counts an attempt that is in flight and was sent before the election to a
     * member other than the new leader.
     */
    boolean isKeyExpiredAtFailover(String leader, long electedAt, long ttl, long at) {
        boolean inFlightElsewhere = inFlight && !endpointId.equals(leader) && sentAt < electedAt;
        long since = Math.min(mayHaveExecutedSince, inFlightElsewhere ? sentAt : NEVER);
        return since != NEVER && since + ttl < at;
    }

    Reachability reachability() {
        return reachability;
    }

    void setReachability(Reachability kind) {
        reachability = kind;
    }
}
