package crankwick.database;

/** A command to a database, for any protocol to encode. */
public sealed interface DatabaseCommand {
    /** The first message on a new connection. */
    record Handshake() implements DatabaseCommand {}

    /** Runs a statement. */
    record Execute(String text) implements DatabaseCommand {}

    /** Asks for the load report: a health check. */
    record RequestLoadReport() implements DatabaseCommand {}
}
