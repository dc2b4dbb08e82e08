package crankwick.database;

/** Whether the first byte of a command may be written to a database, and why not. */
enum BeginDecision {
    BEGIN,
    /** The client has closed its connection or cancelled the command. */
    ABANDONED,
    /** The deadline, or the window in which databases discard duplicates, is over. */
    EXPIRED
}
