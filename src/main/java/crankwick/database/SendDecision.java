package crankwick.database;

/** Whether the first byte of a command may be written to a database and, if not, the reason. */
enum SendDecision {
    SEND,
    /** The client connection has closed, by either side, or the client has cancelled the command. */
    ABANDONED,
    /** The client's close or cancel may be among input that has been unread for long. */
    UNREAD_INPUT,
    /**
     * The client has stopped waiting for the request, or the key window has ended in which databases discard a repeated
     * attempt.
     */
    EXPIRED
}
