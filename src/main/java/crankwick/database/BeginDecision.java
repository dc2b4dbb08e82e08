package crankwick.database;

/** Whether the first byte of a command may be written to a database, and why not. */
enum BeginDecision {
    BEGIN,
    /** The client has closed its connection or cancelled the command. */
    CLIENT_GONE,
    /** The deadline, or the window in which databases discard repeats, is over. */
    TOO_LATE
}
