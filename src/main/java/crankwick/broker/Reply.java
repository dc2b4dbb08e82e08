package crankwick.broker;

/** The final reply to a request; each protocol has its own encoding. */
public sealed interface Reply {
    /**
     * Why a request was rejected or failed. Protocols with error numbers have a separate number for each reason.
     *
     * <p>NO_PRIMARY: the failover of the request's group takes longer than the request can wait. KEY_IN_DOUBT: the
     * request may have executed, and its key window is over. OVER_KEYS: the limit on remembered idempotency keys is
     * reached. OVER_OPEN_COMMANDS: the connection has too many unanswered commands, or too large ones.
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

    /** Served: a database's value (null for SQL's NULL) and the log position that the database reported. */
    record Served(byte[] value, boolean write, long position) implements Reply {}

    /** Rejected: the request is safe to retry; {@code retryAfter} is in microseconds, 0 if absent. */
    record Rejected(Reason reason, long retryAfter) implements Reply {}

    /** Failed: the request may or may not have had an effect. */
    record Failed(Reason reason) implements Reply {}
}
