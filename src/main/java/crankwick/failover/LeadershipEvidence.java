package crankwick.failover;

import crankwick.routing.api.Role;

/**
 * An observation that speaks for or against an endpoint's leading its group. {@code asOf} is the earliest time
 * (microseconds) at which it can have been true: what is read late must not pass for news.
 */
public sealed interface LeadershipEvidence {
    /** The endpoint that it is about. */
    String endpointId();

    /** A response or a load report stated a role; {@code position} is NONE where it stated none. */
    record RoleReported(String endpointId, Role role, long position, long asOf) implements LeadershipEvidence {}

    /** A write was rejected because the endpoint is not a primary. */
    record WriteRejected(String endpointId, long asOf) implements LeadershipEvidence {}

    /** A connection was refused at once: the process is down. */
    record ConnectionRefused(String endpointId) implements LeadershipEvidence {}

    /** A connection was lost with work in flight. */
    record ConnectionLost(String endpointId) implements LeadershipEvidence {}

    /** A request sent at {@code asOf} was not answered in time. */
    record Unresponsive(String endpointId, long asOf) implements LeadershipEvidence {}

    /** The endpoint list says that it is draining or removed. */
    record Delisted(String endpointId) implements LeadershipEvidence {}

    /** The endpoint list says that it is up; one that was delisted may lead again once it reports so itself. */
    record ListedAsUp(String endpointId) implements LeadershipEvidence {}
}
