package crankwick.model;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/** What a group of databases does: for connections to carry, and for checkers to follow its history. */
public sealed interface ModelEffect {
    /**
     * A member answers a statement or a health check.
     *
     * @param result OK, INELIGIBLE_REPLICA, REJECTED_OVERLOADED or ERROR
     * @param role the role that the member claims
     * @param position up to when the member has seen all writes, in microseconds
     */
    record ResponseSent(long exchangeId, int member, AttemptResult result, Role role, long position, LoadReport report)
            implements ModelEffect {}

    /** The connection of an exchange breaks; {@code refused} if it had never come up. */
    record ConnectionFailed(long exchangeId, int member, boolean refused) implements ModelEffect {}

    /** A key's write is now in the group's log. */
    record WriteAppended(String idempotencyKey) implements ModelEffect {}

    /** A key's write left the log with a leader that had not replicated it. */
    record WriteRolledBack(String idempotencyKey) implements ModelEffect {}

    /** The group takes no writes from now on; {@code planned} if its leader drains. */
    record LeaderLost(int previousLeader, boolean planned) implements ModelEffect {}

    /** A member takes writes from now on; it may be the one that did before. */
    record LeaderElected(int member) implements ModelEffect {}

    /** A cold member was sent more than it bears, and stays down. */
    record MemberCollapsed(int member) implements ModelEffect {}
}
