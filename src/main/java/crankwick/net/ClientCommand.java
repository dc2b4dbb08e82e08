package crankwick.net;

import crankwick.statement.Statement;

/**
 * A command's place among the answers of its connection. The loop owns it; the thread that writes to
 * databases asks it only whether its client still waits.
 */
final class ClientCommand {
    final ClientSession session;
    /** The broker's number for the request. */
    final long ref;
    /** Null where the command is no request. */
    final Statement statement;
    /** The answer; null until there is one. */
    FrontReply reply;
    /** Which message of its connection it was, counted from 1; 0 for what the front itself has to say. */
    private final long number;
    /** How many bytes of it are kept until it is answered. */
    final int bytes;

    ClientCommand(ClientSession session, long ref, Statement statement, long number, int bytes) {
        this.session = session;
        this.ref = ref;
        this.statement = statement;
        this.number = number;
        this.bytes = bytes;
    }

    /** True once the client has closed its connection or cancelled the command; on any thread. */
    boolean isAbandoned() {
        return session.isAbandoned(number);
    }
}
