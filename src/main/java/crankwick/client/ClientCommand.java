package crankwick.client;

import crankwick.statement.Statement;

/**
 * A command's place among the replies of its session. The event loop owns it; the thread that writes to databases
 * uses only its public methods.
 */
public final class ClientCommand {
    final ClientSession session;
    /** The broker's id for the request. */
    final long requestId;
    /** What the client sent; null for what the listener itself has to say. */
    final ClientMessage message;
    /** Null until there is one. */
    ClientReply reply;
    /** How many commands in a row have this place, and each this reply. */
    long repeatCount = 1;

    private final Statement statement;
    /** Which message of its connection it was, counted from 1; 0 for what the listener itself has to say. */
    private final long messageNumber;

    private final long readAt;

    ClientCommand(
            ClientSession session,
            long requestId,
            Statement statement,
            ClientMessage message,
            long messageNumber,
            long readAt) {
        this.session = session;
        this.requestId = requestId;
        this.statement = statement;
        this.message = message;
        this.messageNumber = messageNumber;
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
        return session.isAbandoned(messageNumber);
    }
}
