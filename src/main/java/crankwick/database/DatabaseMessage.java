package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/** A message from a database, independent of the protocol that decoded it. */
public sealed interface DatabaseMessage {
    /** The handshake is complete: the connection accepts commands. */
    record ConnectionReady() implements DatabaseMessage {}

    /** The complete response to a command; {@code closesConnection} if the database closes the connection after it. */
    record Response(
            AttemptResult result, Role role, long position, LoadReport report, byte[] value, boolean closesConnection)
            implements DatabaseMessage {}

    /**
     * The connection has no input left of the last response: the database has answered the empty query that the codec
     * sends behind each response. The connection may be used for the next command.
     */
    record Synchronized() implements DatabaseMessage {}

    /** Malformed input; the connection must be closed. */
    record ProtocolError(String fault) implements DatabaseMessage {}
}
