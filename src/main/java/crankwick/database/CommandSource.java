package crankwick.database;

import crankwick.statement.Statement;

/** A client's command as far as the pool needs it to send it to a database; safe on any thread. */
public interface CommandSource {
    /** The statement to run. */
    Statement statement();

    /** When the command was read from the client, in microseconds of Unix time. */
    long readAt();

    /** True once the client has closed its connection or cancelled the command. */
    boolean isAbandoned();
}
