package crankwick.database;

/** A command to a database, independent of the protocol that encodes it. */
public sealed interface DatabaseCommand {
    /** The first message on a new connection. */
    record Handshake() implements DatabaseCommand {}

    /** Runs a statement. */
    record Execute(String text) implements DatabaseCommand {}

    /** Requests the load report, as a health check. */
    record RequestLoadReport() implements DatabaseCommand {}
}
