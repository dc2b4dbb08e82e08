package crankwick.broker;

/** A request's one final answer, which each protocol encodes in its own way. */
public sealed interface Reply {
    /**
     * Why a request was rejected or failed: each reason has its own number in a protocol that has numbers.
     * NO_PRIMARY: its group's failover takes longer than it can wait. KEY_IN_DOUBT: it may have executed, and its
     * key's window is over. OVER_KEYS: no further key can be remembered. OVER_OPEN_COMMANDS: its connection has too
     * many unanswered commands, or too large ones.
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

    /** Served with the value that a database returned (null is SQL's NULL), and the position that it reported. */
    record Served(byte[] value, boolean write, long position) implements Reply {}

    /** Rejected: a retry is harmless; {@code retryAfter} in microseconds, 0 where absent. */
    record Rejected(Reason reason, long retryAfter) implements Reply {}

    /** Failed: it may or may not have had an effect. */
    record Failed(Reason reason) implements Reply {}
}
