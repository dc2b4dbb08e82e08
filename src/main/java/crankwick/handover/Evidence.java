package crankwick.handover;

import crankwick.RouterApi.Role;

/**
 * What speaks for or against a server's leading its group. {@code asOf} is the earliest time (microseconds)
 * at which the server can have been so: what is read late must not pass for news.
 */
public sealed interface Evidence {
    /** Whom it is about. */
    String server();

    /** An answer or a report told a role; {@code position} NONE where it told none. */
    record Told(String server, Role role, long position, long asOf) implements Evidence {}

    /** A write was turned away because this is no primary. */
    record WriteMissed(String server, long asOf) implements Evidence {}

    /** A connection was refused at once: the process is down. */
    record Refused(String server) implements Evidence {}

    /** A connection broke under work. */
    record Broke(String server) implements Evidence {}

    /** Asked at {@code asOf}, and not heard in time. */
    record Silent(String server, long asOf) implements Evidence {}

    /** The list says that it drains or is gone. */
    record Withdrawn(String server) implements Evidence {}

    /** The list says that it is up; of a withdrawn one, that it may lead again once it says so itself. */
    record Listed(String server) implements Evidence {}
}
