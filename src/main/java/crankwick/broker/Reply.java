package crankwick.broker;

/** The final reply to a request; each protocol has its own encoding. */
public sealed interface Reply {
    /**
     * Why a request was rejected or failed. Protocols with error numbers have a separate number for each reason.
     *
     * <p>GIVEN_UP: the router rejected or failed the request. NO_OUTCOME: the request's deadline passed without a
     * reply. NO_PRIMARY: the failover of the request's group is expected to take longer than the request can wait, or a
     * limit of the request buffer is exceeded. KEY_IN_DOUBT: a request with the same key may have executed, and a
     * repeat is not safe. OVER_KEYS: the registry of idempotency keys is full. OVER_OPEN_COMMANDS: the connection has
     * too many unanswered commands, or too large ones.
     */
    enum Reason {
        GIVEN_UP,
        CLASS_NOT_ALLOWED,
        OVER_RATE,
        OVER_OUTSTANDING,
        NO_OUTCOME,
        ID_IN_USE,
        NO_PRIMARY,
        KEY_IN_DOUBT,
        OVER_KEYS,
        OVER_OPEN_COMMANDS
    }

    /**
     * The request was served: contains the database's value (null for SQL's NULL), whether the request was a write, and
     * the log position that the database reported, or NONE.
     */
    record Served(byte[] value, boolean write, long position) implements Reply {}

    /** The request was rejected and is safe to retry; {@code retryAfter} is in microseconds, 0 if absent. */
    record Rejected(Reason reason, long retryAfter) implements Reply {}

    /**
     * The request failed: the client must assume that it may have had an effect, although CLASS_NOT_ALLOWED and
     * ID_IN_USE are decided before any attempt.
     */
    record Failed(Reason reason) implements Reply {}
}
