package crankwick.model;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/** What a group of databases does: for connections to carry, and for checkers to read its history off. */
public sealed interface ModelEffect {
    /** An answer leaves: OK, MISS, FULL or ERROR, with the role and position (microseconds) it tells. */
    record Answered(long ref, int member, AttemptResult result, Role role, long position, LoadReport report)
            implements ModelEffect {}

    /** The connection of a ref breaks; {@code refused} if it had never come up. */
    record Broken(long ref, int member, boolean refused) implements ModelEffect {}

    /** A key's write is now in the group's log. */
    record Applied(String key) implements ModelEffect {}

    /** A key's write left the log with a primary that had not shipped it. */
    record Undone(String key) implements ModelEffect {}

    /** The group takes no writes from now on; {@code planned} if its primary drains. */
    record Vacant(int old, boolean planned) implements ModelEffect {}

    /** A member takes writes from now on; it may be the one that did before. */
    record Led(int member) implements ModelEffect {}

    /** A cold member was sent more than it bears, and stays down. */
    record Fell(int member) implements ModelEffect {}
}
