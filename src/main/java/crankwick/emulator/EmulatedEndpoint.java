package crankwick.emulator;

import crankwick.routing.api.Role;

/**
 * A database as the endpoint list shows it.
 *
 * @param role UNKNOWN keeps the role that was listed before
 * @param startedAtMillis Unix time of its start; 0 for long ago
 */
record EmulatedEndpoint(String id, int port, long groupId, Role role, boolean draining, long startedAtMillis) {
    EmulatedEndpoint withRole(Role other) {
        return new EmulatedEndpoint(id, port, groupId, other, draining, startedAtMillis);
    }

    /** Its lifecycle, in the word of discovery and of zone files. */
    String state() {
        return draining ? "draining" : "up";
    }

    /** Its role, in the word of discovery and of zone files. */
    String mode() {
        return role == Role.PRIMARY ? "read-write" : "read-only";
    }
}
