package crankwick.failover;

import crankwick.routing.api.Role;

/**
 * What speaks for or against a server's leading its group. {@code asOf} is the earliest time (microseconds)
 * at which the server can have been so: what is read late must not pass for news.
 */
public sealed interface LeadershipEvidence {
    /** Whom it is about. */
    String endpointId();

    /** An answer or a report told a role; {@code position} NONE where it told none. */
    record RoleReported(String endpointId, Role role, long position, long asOf) implements LeadershipEvidence {}

    /** A write was turned away because this is no primary. */
    record WriteRejected(String endpointId, long asOf) implements LeadershipEvidence {}

    /** A connection was refused at once: the process is down. */
    record ConnectionRefused(String endpointId) implements LeadershipEvidence {}

    /** A connection broke under work. */
    record ConnectionLost(String endpointId) implements LeadershipEvidence {}

    /** Asked at {@code asOf}, and not heard in time. */
    record Unresponsive(String endpointId, long asOf) implements LeadershipEvidence {}

    /** The list says that it drains or is gone. */
    record Delisted(String endpointId) implements LeadershipEvidence {}

    /** The list says that it is up; of a withdrawn one, that it may lead again once it says so itself. */
    record ListedAsUp(String endpointId) implements LeadershipEvidence {}
}
