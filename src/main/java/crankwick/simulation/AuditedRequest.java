package crankwick.simulation;

/** A client's request, as the audit follows it. */
final class AuditedRequest {
    private static final long NEVER = Long.MAX_VALUE;

    private enum State {
        OPEN,
        SERVED,
        NOT_SERVED,
        /** The proxy's process ended under it. */
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
    private long mayHaveRunSince = NEVER;
    private Reachability reachability = Reachability.UNKNOWN;

    /** A request that is open; {@code idempotencyKey} is null for a read. */
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

    boolean isAnswered() {
        return state != State.OPEN;
    }

    boolean isServed() {
        return state == State.SERVED;
    }

    boolean isLost() {
        return state == State.LOST;
    }

    void answer(boolean served) {
        state = served ? State.SERVED : State.NOT_SERVED;
    }

    void lose() {
        state = State.LOST;
    }

    boolean isInFlight() {
        return inFlight;
    }

    /** Where its last attempt was sent. */
    String endpointId() {
        return endpointId;
    }

    void startAttempt(String endpoint, long now) {
        inFlight = true;
        endpointId = endpoint;
        sentAt = now;
    }

    void endAttempt(boolean mayHaveRun) {
        inFlight = false;
        if (mayHaveRun && mayHaveRunSince == NEVER) {
            mayHaveRunSince = sentAt;
        }
    }

    /** Whether an attempt that has ended without a result may have been executed. */
    boolean mayHaveRun() {
        return mayHaveRunSince != NEVER;
    }

    /** Whether its key may be forgotten by some time, since an attempt may have run before. */
    boolean isKeyExpired(long ttl, long at) {
        return mayHaveRun() && at >= mayHaveRunSince + ttl;
    }

    /** The same at a change of leaders, where an attempt out at another member than the new leader counts too. */
    boolean isKeyExpiredAtFailover(String leader, long electedAt, long ttl, long at) {
        boolean outElsewhere = inFlight && !endpointId.equals(leader) && sentAt < electedAt;
        long since = Math.min(mayHaveRunSince, outElsewhere ? sentAt : NEVER);
        return since != NEVER && since + ttl < at;
    }

    Reachability reachability() {
        return reachability;
    }

    void setReachability(Reachability kind) {
        reachability = kind;
    }
}
