package crankwick.emulator;

import crankwick.routing.api.Role;

/**
 * A database as the endpoint list shows it.
 *
 * @param role UNKNOWN in an update of the list keeps the role that the list showed before
 * @param startedAtMillis when the database's process last started, in Unix milliseconds; 0 if it has not restarted
 *     since the emulator started
 */
record EmulatedEndpoint(String id, int port, long groupId, Role role, boolean draining, long startedAtMillis) {
    EmulatedEndpoint withRole(Role newRole) {
        return new EmulatedEndpoint(id, port, groupId, newRole, draining, startedAtMillis);
    }

    /** The lifecycle state, as written in discovery responses and zone files. */
    String state() {
        return draining ? "draining" : "up";
    }

    /** The role, as written in discovery responses and zone files. */
    String mode() {
        return role == Role.PRIMARY ? "read-write" : "read-only";
    }
}
