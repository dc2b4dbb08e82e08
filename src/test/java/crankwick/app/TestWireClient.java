package crankwick.app;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;

/** A wire protocol as the tests implement it, on the client's and on the database's side. */
interface TestWireClient {
    /**
     * The answer to a request. Its kind is SERVED, REFUSED, FAILED, EMPTY (no value, no error), CLOSED (the proxy has
     * closed the connection) or ATTENTION (TDS only); the code is the error code, if any.
     */
    record Answer(String kind, String code, String value, long retryAfter) {
        static final Answer CLOSED = new Answer("CLOSED", "", null, 0);
    }

    /**
     * A reply of a database. Its kind is VALUE, STALE, OVERLOADED or ERROR; the position is the replication position as
     * Unix time in ms.
     */
    record DatabaseReply(String kind, String value, String mode, long position, String report) {
        DatabaseReply(String kind, String value, String mode, long position) {
            this(kind, value, mode, position, "x0=" + position / 1e3 + ",x1=" + (mode.equals("read-write") ? 1 : 0));
        }
    }

    /** Logs in as a client; throws EOFException if the login is refused. */
    void login(Socket socket, String team) throws IOException;

    void send(Socket socket, String statement) throws IOException;

    /** The bytes of a command without the last {@code omittedBytes}. */
    byte[] encodeCommand(String statement, int omittedBytes);

    Answer readAnswer(DataInputStream in) throws IOException;

    /** Accepts a proxy's login as a database. */
    void acceptLogin(Socket socket, DataInputStream in) throws IOException;

    /** The next statement that a proxy sends; null once the proxy sends no more. */
    String readStatement(DataInputStream in) throws IOException;

    /** True if the statement is a health check. */
    boolean isProbe(String statement);

    /** A database's answer to an empty query. */
    byte[] emptyQueryReply();

    byte[] encodeReply(DatabaseReply databaseReply, boolean probe);

    /** Malformed variants of a reply with a value; the proxy must not serve a value from any of them. */
    byte[][] malformedReplies(DatabaseReply databaseReply);

    /** A message with which a client negotiates before its login; the proxy answers it at once. */
    byte[] negotiation();

    /** A message that cancels the connection's commands; where the protocol has none, the one that ends it. */
    byte[] cancel();

    /** Inputs that violate the protocol. */
    byte[][] invalidInputs();
}
