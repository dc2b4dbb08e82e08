package crankwick.failover;

import crankwick.routing.api.Role;

/**
 * An observation for or against an endpoint being the leader of its group. {@code asOf} is the earliest time in
 * microseconds at which the observation can have been true, so that a delayed message does not count as recent.
 */
public sealed interface LeadershipEvidence {
    /** Returns the observed endpoint. */
    String endpointId();

    /** A reply or a load report contained a role; {@code position} is NONE if it contained no log position. */
    record RoleReported(String endpointId, Role role, long position, long asOf) implements LeadershipEvidence {}

    /** A write was rejected because the endpoint is not a primary. */
    record WriteRejected(String endpointId, long asOf) implements LeadershipEvidence {}

    /** A connection failed well before the connect timeout, so it was refused and the database process is down. */
    record ConnectionRefused(String endpointId) implements LeadershipEvidence {}

    /** A connection was lost before a request was completely sent, or before its reply was received. */
    record ConnectionLost(String endpointId) implements LeadershipEvidence {}

    /**
     * A health check sent at {@code asOf} got no reply in time, or the connection for a health check or an attempt sent
     * at {@code asOf} was not established in time.
     */
    record Unresponsive(String endpointId, long asOf) implements LeadershipEvidence {}

    /** The endpoint list shows the endpoint as draining or removed, or a full list does not contain it. */
    record Delisted(String endpointId) implements LeadershipEvidence {}

    /**
     * The endpoint list shows the endpoint as up. After {@link Delisted}, a leader's claims are accepted again from
     * then on; being listed does not make the endpoint the leader.
     */
    record ListedAsUp(String endpointId) implements LeadershipEvidence {}
}
