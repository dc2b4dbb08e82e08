package crankwick.model;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/** Effects of a group of databases: responses for the host to deliver, and state changes for audits to track. */
public sealed interface ModelEffect {
    /**
     * A member answers a statement or a health check.
     *
     * @param result OK, INELIGIBLE_REPLICA, REJECTED_OVERLOADED or ERROR
     * @param role the role that the member claims
     * @param position the replication position: the member has seen all writes up to this time, in microseconds
     */
    record ResponseSent(long exchangeId, int member, AttemptResult result, Role role, long position, LoadReport report)
            implements ModelEffect {}

    /**
     * The connection of an exchange fails; {@code refused} if it failed because the process of the member was down when
     * the exchange arrived.
     */
    record ConnectionFailed(long exchangeId, int member, boolean refused) implements ModelEffect {}

    /** The write with an idempotency key was appended to the group's log. */
    record WriteAppended(String idempotencyKey) implements ModelEffect {}

    /**
     * The write with an idempotency key was removed from the log because its leader failed before another member had
     * received it.
     */
    record WriteRolledBack(String idempotencyKey) implements ModelEffect {}

    /** The group accepts no new writes: its leader is unresponsive, or draining if {@code planned}. */
    record LeaderLost(int previousLeader, boolean planned) implements ModelEffect {}

    /** A member is now the leader and accepts writes; it may be the previous leader, which resumes its role. */
    record LeaderElected(int member) implements ModelEffect {}

    /** A member collapsed under overload while warming up, and stays down. */
    record MemberCollapsed(int member) implements ModelEffect {}
}
