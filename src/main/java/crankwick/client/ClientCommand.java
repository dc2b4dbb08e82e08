package crankwick.client;

import crankwick.statement.Statement;

/**
 * A client's command, queued until its reply is written in order. Owned by the event loop; the thread that writes to
 * databases uses only the public methods.
 */
public final class ClientCommand {
    final ClientSession session;
    /** Identifies the request in broker events; unique among the listener's commands. */
    final long requestId;
    /** The client's message; null for an error that the listener itself reports. */
    final ClientMessage message;
    /** Null until the reply is available. */
    ClientReply reply;
    /** The replies still to be written for this queue entry: one for each of the consecutive commands sharing it. */
    long pendingReplies = 1;

    private final Statement statement;
    /** The number of the message on its connection, from 1; 0 for an error that the listener itself reports. */
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

    /** The statement; null if the command is not a request. */
    public Statement statement() {
        return statement;
    }

    /** When the command was read, in microseconds of Unix time. */
    public long readAt() {
        return readAt;
    }

    /** True once the client has closed its connection or cancelled the command. Safe on any thread. */
    public boolean isAbandoned() {
        return session.isAbandoned(messageNumber);
    }
}
