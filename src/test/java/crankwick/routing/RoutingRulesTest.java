package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.ResponseStarted;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import crankwick.routing.api.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Routing invariants: retries, cancellation, endpoint eligibility and slow start. */
class RoutingRulesTest {
    /** Guards against a memory leak: state kept for every endpoint ever listed and every group ever requested. */
    @Test
    void expiredEndpointsAndUnknownGroupsAreNotRetained() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        for (int i = 0; i < 200; i++) {
            harness.updateEndpoint("s" + i, EndpointStatus.LIVE, 0);
            harness.updateEndpoint("s" + (i - 3), EndpointStatus.REMOVED, 0);
            assertTrue(harness.isRejected(harness.requestToGroup(1_000 + i, RouterTestHarness.BOUNDED_READ)));
            harness.advance(1_000 * MICROS_PER_MILLI);
        }
        assertTrue(harness.router.retainedStateCount() < 50, "retained: " + harness.router.retainedStateCount());
    }

    @ParameterizedTest
    @EnumSource(value = AttemptResult.class, names = "OK", mode = EnumSource.Mode.EXCLUDE)
    void nonIdempotentWriteIsRetriedOrRejectedOnlyIfNotExecuted(AttemptResult result) {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long write = harness.request(RouterTestHarness.WRITE);
        harness.endAttempt(write, result, Role.UNKNOWN, AbsentValue.NONE);
        harness.advance(3_000 * MICROS_PER_MILLI);
        if (result.provesNotExecuted()) {
            assertFalse(harness.isFailed(write));
            assertTrue(harness.attempts(write) > 1 || harness.isRejected(write));
        } else {
            assertEquals(1, harness.attempts(write));
            assertTrue(harness.isFailed(write));
            assertFalse(harness.isRejected(write));
        }
    }

    @Test
    void possiblyExecutedWriteWithKeyIsNotRejectedUnderGroupScope() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long write = harness.request(RouterTestHarness.WRITE_WITH_KEY);
        harness.endAttempt(write, AttemptResult.RESET, Role.UNKNOWN, AbsentValue.NONE);
        assertEquals(2, harness.attempts(write), "the retry is deduplicated within the group");
        harness.endAttempt(write, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        harness.advance(3_000 * MICROS_PER_MILLI);
        assertTrue(harness.isFailed(write));
        assertFalse(harness.isRejected(write));
    }

    @Test
    void requestsOfEveryClassAreRejectedWithoutEndpoints() {
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        for (int classIndex = RouterTestHarness.BOUNDED_READ;
                classIndex <= RouterTestHarness.WRITE_WITH_KEY;
                classIndex++) {
            long id = harness.request(classIndex);
            harness.advance(2_000 * MICROS_PER_MILLI);
            assertTrue(harness.isRejected(id), "class " + classIndex);
        }
    }

    @Test
    void timeoutAtTheDeadlineRejectsTheRequestImmediately() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.now += 2_000 * MICROS_PER_MILLI;
        harness.endAttempt(read, AttemptResult.TIMEOUT, Role.UNKNOWN, AbsentValue.NONE);
        assertTrue(harness.isRejected(read));
    }

    @Test
    void abandonedRequestIsNotRetried() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.handle(new RequestAbandoned(read));
        harness.endAttempt(read, AttemptResult.ERROR, Role.UNKNOWN, AbsentValue.NONE);
        harness.advance(500 * MICROS_PER_MILLI);
        assertEquals(1, harness.attempts(read));
        assertFalse(harness.isRejected(read) || harness.isFailed(read));
    }

    @Test
    void eventsOfUnknownRequestsAndEndpointsAreIgnored() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        int before = harness.actions.size();
        harness.handle(
                new AttemptOutcome(77, 0, false, AttemptResult.OK, MICROS_PER_MILLI, "r1", Role.REPLICA, 5, null));
        harness.handle(new HealthCheckResult("nobody", AttemptResult.OK, MICROS_PER_MILLI, null));
        harness.handle(new TimerFired(12_345));
        harness.handle(new RequestAbandoned(77));
        harness.handle(new ResponseStarted(77));
        assertEquals(before, harness.actions.size());
    }

    @ParameterizedTest
    @EnumSource(value = EndpointStatus.class, names = "LIVE", mode = EnumSource.Mode.EXCLUDE)
    void drainingOrRemovedEndpointGetsNoNewRequest(EndpointStatus status) {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.updateEndpoint("r1", status, 0);
        for (int i = 0; i < 20; i++) {
            long id = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(id));
            harness.succeed(id);
        }
    }

    @Test
    void endpointMissingFromAFullListIsRemoved() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        List<Endpoint> rest = List.of(harness.endpointList.get(0), harness.endpointList.get(2));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, rest));
        assertEquals("r2", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
    }

    @Test
    void unlistedEndpointIsUsableUnlessDraining() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.updateEndpoint("r1", EndpointStatus.REMOVED, 0);
        harness.updateEndpoint("r2", EndpointStatus.DRAINING, 0);
        harness.updateEndpoint("r2", EndpointStatus.REMOVED, 0);
        assertEquals("r1", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        harness.updateEndpoint("r2", EndpointStatus.LIVE, 0);
        harness.updateEndpoint("r1", EndpointStatus.DRAINING, 0);
        assertEquals("r2", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
    }

    @Test
    void burstToAnEndpointInSlowStartIsLimitedByItsBudget() {
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        harness.endpointList.add(
                RouterTestHarness.endpoint("r1", EndpointStatus.LIVE, harness.now - 100 * MICROS_PER_MILLI));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.RESTORED, harness.endpointList));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            long id = harness.request(RouterTestHarness.EVENTUAL_READ);
            if (harness.sentTo(id) != null) {
                sent++;
                harness.succeed(id);
            }
            harness.now += 10 * MICROS_PER_MILLI;
        }
        assertTrue(sent >= 1 && sent <= 3, "requests sent within a second: " + sent);
    }

    @Test
    void responseAfterARefusedConnectionStartsSlowStart() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.updateEndpoint("r2", EndpointStatus.REMOVED, 0);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.endAttempt(read, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        harness.reportHealth("r1", Role.REPLICA, harness.now);
        assertTrue(harness.actions.contains("log r1 responds after refusing connections, starting slow start"));
    }

    @Test
    void idempotentReadOnUnresponsiveEndpointIsCancelledBeforeRetry() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        String first = harness.sentTo(read);
        harness.advance(700 * MICROS_PER_MILLI);
        assertTrue(harness.isCancelled(read));
        assertEquals(1, harness.attempts(read), "no retry before the cancelled attempt has ended");
        harness.endAttempt(read, AttemptResult.CANCELLED, Role.UNKNOWN, AbsentValue.NONE);
        assertNotNull(first);
    }

    @Test
    void invalidSettingsNameTheField() {
        RoutingRules rules = new RoutingRules(-1, 0, false, 0.15, 0, 3, 0);
        RoutingLimits limits = new RoutingLimits(true, true, true, 0, 1, 0);
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new RoutingSettings(
                        1,
                        0,
                        false,
                        false,
                        false,
                        StaleReadPolicy.SERVE,
                        RoleVisibility.HIDDEN,
                        rules,
                        limits,
                        new CostWeights(0, 0, 0),
                        List.of()));
        assertTrue(e.getMessage().contains("rules.answerSlack"), e.getMessage());
    }

    @Test
    void sessionReadIsNotSentToAFormerPrimaryBehindItsToken() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.commitWrite(5, harness.now + 5 * MICROS_PER_MILLI);
        harness.reportHealth("r1", Role.PRIMARY, harness.now + 100 * MICROS_PER_MILLI);
        long read = harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        assertNull(harness.sentTo(read), "p's position is behind the session token and r1 is the primary");
    }

    @Test
    void slowResponsesLimitTheAttemptRateWithManyProxies() {
        // Incident i9c74e4: with a dozen proxies, one request of each in flight per endpoint already built up queues.
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 12;
        settings.healthChecksAllowed = false;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        harness.addEndpoints("r1");
        for (int i = 0; i < 30; i++) {
            long id = harness.request(RouterTestHarness.EVENTUAL_READ);
            if (harness.sentTo(id) != null) {
                harness.handle(new AttemptOutcome(
                        id,
                        0,
                        true,
                        AttemptResult.OK,
                        450 * MICROS_PER_MILLI,
                        "r1",
                        Role.UNKNOWN,
                        AbsentValue.NONE,
                        null));
            }
            harness.advance(1_000 * MICROS_PER_MILLI);
        }
        long first = harness.request(RouterTestHarness.EVENTUAL_READ);
        assertEquals("r1", harness.sentTo(first));
        harness.succeed(first);
        long second = harness.request(RouterTestHarness.EVENTUAL_READ);
        assertNull(
                harness.sentTo(second),
                "no attempt is in flight, but the minimum interval between attempts is not over");
    }

    @Test
    void longRequestIsNotCancelledWhileHealthChecksPass() {
        // Incident i6aa7ab: with few requests per endpoint, one long request caused a healthy endpoint to be ejected.
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        for (int i = 0; i < 24; i++) {
            harness.advance(25 * MICROS_PER_MILLI);
            for (String endpoint : new String[] {"p", "r1", "r2"}) {
                if (harness.actions.removeIf(a -> a.equals("check " + endpoint))) {
                    harness.handle(new HealthCheckResult(endpoint, AttemptResult.OK, MICROS_PER_MILLI, null));
                }
            }
        }
        assertFalse(harness.isCancelled(read));
        assertFalse(harness.actions.stream().anyMatch(action -> action.contains("ejected")));
    }

    @Test
    void responsesToEarlierAttemptsDoNotReadmitAnOutlier() {
        // Incident h25ee0b: responses to attempts sent before the ejection readmitted an outlier many times a second.
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.updateEndpoint("r2", EndpointStatus.REMOVED, 0);
        long sentBeforeEjection = harness.request(RouterTestHarness.EVENTUAL_READ);
        for (int i = 0; i < 5; i++) {
            harness.now += MICROS_PER_MILLI;
            long id = harness.request(RouterTestHarness.EVENTUAL_READ);
            if ("r1".equals(harness.sentTo(id))) {
                harness.endAttempt(id, AttemptResult.ERROR, Role.REPLICA, AbsentValue.NONE);
            }
        }
        assertTrue(harness.actions.contains(
                "log r1 ejected: failure rate above the ejection threshold, only trial attempts until one succeeds"));
        harness.succeed(sentBeforeEjection);
        assertFalse(harness.actions.contains("log r1 readmitted: attempt succeeded"));
        harness.advance(600 * MICROS_PER_MILLI);
        long trial = harness.request(RouterTestHarness.EVENTUAL_READ);
        assertTrue(harness.actions.stream().anyMatch(a -> a.endsWith(" r1") && a.startsWith("send")));
        assertFalse(harness.isFailed(trial));
    }
}
