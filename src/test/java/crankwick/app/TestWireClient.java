package crankwick.app;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;

/** A protocol as the tests speak it: as a client, and as a database. */
interface TestWireClient {
    /** How a request was answered: SERVED, REFUSED, FAILED, CLOSED; the number or code, if there is one. */
    record Answer(String kind, String code, String value, long retryAfter) {
        static final Answer CLOSED = new Answer("CLOSED", "", null, 0);
    }

    /** What a database answers: a value, or one of the words MISS, FULL, ERROR; its position as Unix time. */
    record DatabaseReply(String kind, String value, String mode, long position, String report) {
        DatabaseReply(String kind, String value, String mode, long position) {
            this(kind, value, mode, position, "x0=" + position / 1e3 + ",x1=" + (mode.equals("read-write") ? 1 : 0));
        }
    }

    /** Logs in as a client; null if the login is turned away. */
    void login(Socket socket, String team) throws IOException;

    void send(Socket socket, String statement) throws IOException;

    /** The bytes of a command, less so many at the end. */
    byte[] encodeCommand(String statement, int omittedBytes);

    Answer readAnswer(DataInputStream in) throws IOException;

    /** Takes a proxy's login as a database. */
    void acceptLogin(Socket socket, DataInputStream in) throws IOException;

    /** The next statement that a proxy sends; null at the end. */
    String readStatement(DataInputStream in) throws IOException;

    /** True if the statement is a probe. */
    boolean isProbe(String statement);

    byte[] encodeReply(DatabaseReply databaseReply, boolean probe);

    /** What a database may send instead of the answer that serves a value: none of it serves anything. */
    byte[][] malformedReplies(DatabaseReply databaseReply);

    /** Bytes that no peer should send. */
    byte[][] invalidInputs();
}
