package crankwick.client;

import crankwick.statement.Statement;

/**
 * A client's command, queued on its session until its reply is handed to the transport in the order of the commands.
 * Owned by the event loop, with two exceptions: the thread that writes to databases calls the public methods, and the
 * thread that completes the write of a reply reads the command's reply and message.
 */
public final class ClientCommand {
    final ClientSession session;
    /** Unique among the listener's commands; identifies the command's request, if it is one, in broker events. */
    final long requestId;
    /** The client's message; null for an error that the listener itself reports. */
    final ClientMessage message;
    /** The reply to write; null until the reply is available. */
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

    /** The request's statement; null if the command is not a request, or if its statement was invalid. */
    public Statement statement() {
        return statement;
    }

    /** When the command was read, in microseconds of Unix time. */
    public long readAt() {
        return readAt;
    }

    /** True if the client may have closed or cancelled long ago, in input that is still unread. Safe on any thread. */
    public boolean hasLongUnreadInput() {
        return session.hasLongUnreadInput();
    }

    /**
     * True once the connection has closed, by either side, or the client has cancelled the command. Safe on any thread.
     */
    public boolean isAbandoned() {
        return session.isAbandoned(messageNumber);
    }
}
