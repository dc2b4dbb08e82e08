package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/** What a database says, whatever its wire. */
public sealed interface DatabaseMessage {
    /** The connection is up and takes statements. */
    record Greeted() implements DatabaseMessage {}

    /** The whole answer to a command; {@code last} if the database ends the connection after it. */
    record Answered(AttemptResult result, Role role, long position, LoadReport report, byte[] value, boolean last)
            implements DatabaseMessage {}

    /** What came in breaks the protocol. */
    record Broken(String fault) implements DatabaseMessage {}
}
