package crankwick.database;

/** What a database is asked, whatever its wire. */
public sealed interface DatabaseCommand {
    /** The first words on a new connection. */
    record Hello() implements DatabaseCommand {}

    /** Runs a statement. */
    record Run(String text) implements DatabaseCommand {}

    /** Asks for the load report: a probe. */
    record AskReport() implements DatabaseCommand {}
}
