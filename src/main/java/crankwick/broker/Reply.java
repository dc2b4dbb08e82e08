package crankwick.broker;

/** A request's one final answer, for any wire to word. */
public sealed interface Reply {
    /**
     * Why a request was refused or failed: each reason has its own number on a wire that has numbers.
     * NO_PRIMARY: its group changes primaries, for longer than it can wait. KEY_IN_DOUBT: it may have run,
     * and its key's window is over. OVER_KEYS: no room to remember another key.
     * OVER_OPEN_COMMANDS: its connection has too many commands, or too large ones, not answered.
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

    /** Served with the value as a database gave it (null is SQL's NULL), and the position it told. */
    record Served(byte[] value, boolean write, long position) implements Reply {}

    /** Refused: nothing ran that matters; {@code retryAfter} in microseconds, 0 for no word on it. */
    record Rejected(Reason reason, long retryAfter) implements Reply {}

    /** Failed: it may or may not have had an effect. */
    record Failed(Reason reason) implements Reply {}
}
