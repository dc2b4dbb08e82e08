package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Determining the primary of a group from role evidence, and the group timer. */
class EndpointGroupTest {
    private final RoutingSettings settings = TestSettings.keyedWrite(0, 1_000_000, 250_000, true);
    private final EndpointGroup group = new EndpointGroup(1, 1);
    private final EndpointState a = addEndpoint("a");
    private final EndpointState b = addEndpoint("b");

    private EndpointState addEndpoint(String id) {
        Endpoint entry = new Endpoint(id, 0, 1, Role.UNKNOWN, EndpointStatus.LIVE, 0);
        EndpointState endpoint = new EndpointState(entry, group, settings);
        group.add(endpoint);
        return endpoint;
    }

    @Test
    void newestPrimaryClaimPrevails() {
        assertFalse(group.recordRole(a, Role.PRIMARY, 10), "the first known primary is not a change");
        assertTrue(group.recordRole(b, Role.PRIMARY, 20));
        assertFalse(group.recordRole(a, Role.PRIMARY, 15));
        assertSame(b, group.primary());
        assertFalse(group.isReplica(a), "a still claims to be primary");
    }

    @Test
    void olderEvidenceOfARoleIsIgnored() {
        group.recordRole(a, Role.PRIMARY, 10);
        assertFalse(group.recordRole(a, Role.REPLICA, 9));
        assertSame(a, group.primary());
        assertTrue(group.recordRole(a, Role.REPLICA, 11), "the primary is now unknown");
        assertNull(group.primary());
    }

    @Test
    void onlyAnEarlierTimerReplacesAPendingTimer() {
        group.setTimer(100);
        assertFalse(group.needsTimer(100));
        assertTrue(group.needsTimer(99));
        group.clearDueTimer(99);
        assertFalse(group.needsTimer(100), "a timer that fires early does not clear the pending one");
        group.clearDueTimer(100);
        assertTrue(group.needsTimer(1_000));
    }
}
