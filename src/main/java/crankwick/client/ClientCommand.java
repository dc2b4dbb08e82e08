package crankwick.client;

import crankwick.statement.Statement;

/**
 * A command's place among the answers of its connection. The loop owns it; the thread that writes to
 * databases asks it only whether its client still waits.
 */
public final class ClientCommand {
    final ClientSession session;
    /** The broker's number for the request. */
    final long ref;
    /** Null where the command is no request. */
    final Statement statement;
    /** What the client sent; null for what the front itself has to say. */
    final ClientMessage message;
    /** When it was read, in microseconds of Unix time. */
    final long readAt;
    /** The answer; null until there is one. */
    ClientReply reply;
    /** How many commands in a row have this place and each this answer. */
    long times = 1;
    /** Which message of its connection it was, counted from 1; 0 for what the front itself has to say. */
    private final long number;

    ClientCommand(
            ClientSession session, long ref, Statement statement, ClientMessage message, long number, long readAt) {
        this.session = session;
        this.ref = ref;
        this.statement = statement;
        this.message = message;
        this.number = number;
        this.readAt = readAt;
    }

    /** What it asks; null where the command is no request. */
    public Statement statement() {
        return statement;
    }

    /** When it was read, in microseconds of Unix time. */
    public long readAt() {
        return readAt;
    }

    /** True once the client has closed its connection or cancelled the command; on any thread. */
    public boolean isAbandoned() {
        return session.isAbandoned(number);
    }
}
