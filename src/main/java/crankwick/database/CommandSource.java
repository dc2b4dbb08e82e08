package crankwick.database;

import crankwick.statement.Statement;

/** What the pool needs of a client's command to send it to a database; thread-safe. */
public interface CommandSource {
    /** The statement to run. */
    Statement statement();

    /** When the command was read from the client, in microseconds of Unix time. */
    long readAt();

    /** True if the client may have closed or cancelled long ago, in input that is still unread. */
    boolean hasLongUnreadInput();

    /** True once the client connection has closed, by either side, or the client has cancelled the command. */
    boolean isAbandoned();
}
