package crankwick.net;

import crankwick.RouterApi.Report;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;

/** What a database says, whatever its wire. */
public sealed interface DatabaseMessage {
    /** The connection is up and takes statements. */
    record Greeted() implements DatabaseMessage {}

    /** The whole answer to a command; {@code last} if the database ends the connection after it. */
    record Answered(Result result, Role role, long position, Report report, byte[] value, boolean last)
            implements DatabaseMessage {}

    /** What came in breaks the protocol. */
    record Broken(String fault) implements DatabaseMessage {}
}
