package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
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

/** Detection of the primary, and routing of writes while the primary changes. */
class PrimaryTest {

    @Test
    void oneWriteAttemptsEachEndpointOnceWhileThePrimaryIsUnknown() {
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        harness.addEndpoints("a", "b", "c");
        long write = harness.request(RouterTestHarness.WRITE);
        long second = harness.request(RouterTestHarness.WRITE);
        for (int i = 1; i <= 3; i++) {
            assertEquals(i, harness.attempts(write));
            harness.endAttempt(write, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        }
        assertEquals(3, harness.attempts(write));
        assertNull(harness.sentTo(second), "one write attempts possible primaries, the others are queued");
        assertFalse(harness.isRejected(write));
        harness.reportHealth("b", Role.PRIMARY, harness.now + MICROS_PER_MILLI);
        assertEquals("b", harness.sentTo(write));
        assertEquals("b", harness.sentTo(second));
    }

    @Test
    void newestPrimaryClaimPrevailsOverAnOlderReport() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long old = harness.now;
        harness.reportHealth("r1", Role.PRIMARY, harness.now + 400 * MICROS_PER_MILLI);
        harness.reportHealth("p", Role.PRIMARY, old);
        assertEquals("r1", harness.sentTo(harness.request(RouterTestHarness.WRITE)));
    }

    @Test
    void writesAreQueuedWhileThePrimaryIsDownAndRejectedBeforeTheDeadline() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long write = harness.request(RouterTestHarness.WRITE);
        harness.endAttempt(write, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        harness.advance(1_500 * MICROS_PER_MILLI);
        assertFalse(harness.isRejected(write), "a new primary may still appear before the deadline");
        harness.advance(500 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(write));
    }

    @Test
    void ejectedPrimaryIsReadmittedByATrial() {
        // Incident if9b0f8: an ejected primary was never readmitted because it got no further requests.
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        for (int i = 0; i < 6; i++) {
            long write = harness.request(RouterTestHarness.WRITE);
            if (harness.sentTo(write) != null) {
                harness.endAttempt(write, AttemptResult.ERROR, Role.PRIMARY, AbsentValue.NONE);
            }
        }
        assertTrue(harness.actions.contains(
                "log p ejected: failure rate above the ejection threshold, only trial attempts until one succeeds"));
        long queued = harness.request(RouterTestHarness.WRITE);
        assertNull(harness.sentTo(queued));
        harness.autoRespondToHealthChecks("p", Role.PRIMARY);
        harness.advance(1_000 * MICROS_PER_MILLI);
        assertEquals("p", harness.sentTo(queued));
        harness.endAttempt(queued, AttemptResult.OK, Role.PRIMARY, harness.now);
        assertTrue(harness.actions.contains("log p readmitted: attempt succeeded"));
    }

    /** Guards against an endpoint that restarts while ejected, becomes primary and gets only trials for seconds. */
    @Test
    void restartClearsAnEjection() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        for (int i = 0; i < 6; i++) {
            long write = harness.request(RouterTestHarness.WRITE);
            if (harness.sentTo(write) != null) {
                harness.endAttempt(write, AttemptResult.ERROR, Role.PRIMARY, AbsentValue.NONE);
            }
        }
        assertTrue(harness.actions.contains(
                "log p ejected: failure rate above the ejection threshold, only trial attempts until one succeeds"));
        harness.advance(MICROS_PER_MILLI);
        harness.updateEndpoint("p", EndpointStatus.LIVE, harness.now - 20_000 * MICROS_PER_MILLI);
        harness.reportHealth("p", Role.PRIMARY, harness.now);
        long write = harness.request(RouterTestHarness.WRITE);
        harness.advance(100 * MICROS_PER_MILLI);
        assertEquals("p", harness.sentTo(write));
        assertFalse(harness.actions.contains("log p readmitted: attempt succeeded"), "no trial was needed");
    }

    @Test
    void drainingPrimaryGetsNoWriteButItsSuccessorDoes() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.updateEndpoint("p", EndpointStatus.DRAINING, 0);
        long write = harness.request(RouterTestHarness.WRITE);
        assertNull(harness.sentTo(write));
        harness.reportHealth("r2", Role.PRIMARY, harness.now + MICROS_PER_MILLI);
        assertEquals("r2", harness.sentTo(write));
    }

    @Test
    void readsMayUseThePrimaryOnlyWhenNoReplicaIsUsable() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.updateEndpoint("r1", EndpointStatus.REMOVED, 0);
        assertEquals("r2", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        harness.updateEndpoint("r2", EndpointStatus.REMOVED, 0);
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
    }

    @Test
    void discoveryWatchIsRenewedAfterAFailure() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.pollsDiscovery = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        assertTrue(harness.actions.contains("timer 0"));
        harness.handle(new TimerFired(0));
        assertEquals(1, harness.actions.stream().filter("watch"::equals).count());
        harness.actions.clear();
        harness.handle(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, java.util.List.of()));
        assertTrue(harness.actions.contains("timer 0"));
    }

    @Test
    void sameEventsProduceTheSameActions() {
        assertEquals(recordedActions(), recordedActions());
        assertNotNull(recordedActions());
    }

    private static java.util.List<String> recordedActions() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        for (int i = 0; i < 200; i++) {
            long id = harness.request(i % 5, i % 7, AbsentValue.NONE);
            harness.advance(10 * MICROS_PER_MILLI);
            if (harness.sentTo(id) != null) {
                harness.endAttempt(
                        id, i % 11 == 0 ? AttemptResult.ERROR : AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
            }
        }
        return harness.actions;
    }
}
