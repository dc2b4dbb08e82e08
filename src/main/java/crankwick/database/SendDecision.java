package crankwick.database;

/** Whether the first byte of a command may be written to a database and, if not, the reason. */
enum SendDecision {
    SEND,
    /** The client has closed its connection or cancelled the command. */
    ABANDONED,
    /** The request's deadline or the databases' deduplication window has passed. */
    EXPIRED
}
