package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import crankwick.routing.api.TimerFired;
import org.junit.jupiter.api.Test;

/** Locating the primary, and carrying writes across its changes. */
class PrimaryTest {
    private static final long MS = RouterTestHarness.MS;

    @Test
    void unknownPrimaryIsSoughtOnceInTurnThenTheWriteIsHeld() {
        RouterTestHarness rig = new RouterTestHarness(new RouterTestHarness.Build().settings());
        rig.members("a", "b", "c");
        long write = rig.request(RouterTestHarness.WRITE);
        long second = rig.request(RouterTestHarness.WRITE);
        for (int i = 1; i <= 3; i++) {
            assertEquals(i, rig.attempts(write));
            rig.outcome(write, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        }
        assertEquals(3, rig.attempts(write));
        assertNull(rig.sentTo(second), "one write seeks, the others hold");
        assertFalse(rig.refused(write));
        rig.report("b", Role.PRIMARY, rig.now + MS);
        assertEquals("b", rig.sentTo(write));
        assertEquals("b", rig.sentTo(second));
    }

    @Test
    void newestClaimWinsAndAnOldReportDoesNotUndoIt() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long old = rig.now;
        rig.report("r1", Role.PRIMARY, rig.now + 400 * MS);
        rig.report("p", Role.PRIMARY, old);
        assertEquals("r1", rig.sentTo(rig.request(RouterTestHarness.WRITE)));
    }

    @Test
    void writesWaitWhileThePrimaryIsDownAndAreRefusedInTime() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long write = rig.request(RouterTestHarness.WRITE);
        rig.outcome(write, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        rig.advance(1_500 * MS);
        assertFalse(rig.refused(write), "still time for a new primary");
        rig.advance(500 * MS);
        assertTrue(rig.refused(write));
    }

    @Test
    void primaryThatOnlyFailedIsTriedAgain() {
        // Incident if9b0f8: an ejected primary was never sent anything again.
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        for (int i = 0; i < 6; i++) {
            long write = rig.request(RouterTestHarness.WRITE);
            if (rig.sentTo(write) != null) {
                rig.outcome(write, AttemptResult.ERROR, Role.PRIMARY, AbsentValue.NONE);
            }
        }
        assertTrue(rig.actions.contains("log p ejected: failure rate"));
        long held = rig.request(RouterTestHarness.WRITE);
        assertNull(rig.sentTo(held));
        rig.answers("p", Role.PRIMARY);
        rig.advance(1_000 * MS);
        assertEquals("p", rig.sentTo(held));
        rig.outcome(held, AttemptResult.OK, Role.PRIMARY, rig.now);
        assertTrue(rig.actions.contains("log p readmitted"));
    }

    /** Else a member that was ejected before its restart and then took over got trials only, for seconds. */
    @Test
    void aFreshProcessIsNotLeftOutForWhatAnEarlierOneFailedAt() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        for (int i = 0; i < 6; i++) {
            long write = rig.request(RouterTestHarness.WRITE);
            if (rig.sentTo(write) != null) {
                rig.outcome(write, AttemptResult.ERROR, Role.PRIMARY, AbsentValue.NONE);
            }
        }
        assertTrue(rig.actions.contains("log p ejected: failure rate"));
        rig.advance(MS);
        rig.change("p", EndpointStatus.LIVE, rig.now - 20_000 * MS);
        rig.report("p", Role.PRIMARY, rig.now);
        long write = rig.request(RouterTestHarness.WRITE);
        rig.advance(100 * MS);
        assertEquals("p", rig.sentTo(write));
        assertFalse(rig.actions.contains("log p readmitted"), "no trial was needed");
    }

    @Test
    void drainingPrimaryGetsNoWriteAndItsSuccessorDoes() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.change("p", EndpointStatus.DRAINING, 0);
        long write = rig.request(RouterTestHarness.WRITE);
        assertNull(rig.sentTo(write));
        rig.report("r2", Role.PRIMARY, rig.now + MS);
        assertEquals("r2", rig.sentTo(write));
    }

    @Test
    void readsMayUseThePrimaryOnlyWhenEveryReplicaIsLost() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.change("r1", EndpointStatus.REMOVED, 0);
        assertEquals("r2", rig.sentTo(rig.request(RouterTestHarness.ANY)));
        rig.change("r2", EndpointStatus.REMOVED, 0);
        assertEquals("p", rig.sentTo(rig.request(RouterTestHarness.ANY)));
    }

    @Test
    void discoveryIsWatchedAndRenewedAfterAFailure() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.asksDiscovery = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        assertTrue(rig.actions.contains("arm 0"));
        rig.tell(new TimerFired(0));
        assertEquals(1, rig.actions.stream().filter("watch"::equals).count());
        rig.actions.clear();
        rig.tell(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, java.util.List.of()));
        assertTrue(rig.actions.contains("arm 0"));
    }

    @Test
    void sameEventsGiveTheSameActions() {
        assertEquals(play(), play());
        assertNotNull(play());
    }

    private static java.util.List<String> play() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        for (int i = 0; i < 200; i++) {
            long id = rig.request(i % 5, i % 7, AbsentValue.NONE);
            rig.advance(10 * MS);
            if (rig.sentTo(id) != null) {
                rig.outcome(id, i % 11 == 0 ? AttemptResult.ERROR : AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
            }
        }
        return rig.actions;
    }
}
