package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Hundreds of proxies, each of which sends an endpoint a request every few seconds. */
class LargeFleetTest {

    private static RouterTestHarness withProxies(int proxyCount) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = proxyCount;
        return RouterTestHarness.withKnownGroup(settings.build());
    }

    private static long count(RouterTestHarness harness, String prefix) {
        return harness.actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    @Test
    void readAfterALongIdleTimeTriggersOneHealthCheck() {
        RouterTestHarness harness = withProxies(300);
        harness.advance(10_000 * MICROS_PER_MILLI);
        harness.actions.clear();
        long read = harness.request(RouterTestHarness.BOUNDED_READ);
        assertNull(harness.sentTo(read), "the last response is ten seconds old");
        assertEquals(1, count(harness, "check"), "one replica is checked, not all");
        harness.respondsToHealthChecks("r1", Role.REPLICA);
        harness.respondsToHealthChecks("r2", Role.REPLICA);
        harness.advance(10 * MICROS_PER_MILLI);
        assertTrue(harness.sentTo(read).startsWith("r"));
    }

    @Test
    void rareResponsesDoNotRequireHealthChecks() {
        // In large fleets, health checks before most reads exhausted their budget.
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        String[] replicas = new String[30];
        Arrays.setAll(replicas, i -> "r" + i);
        harness.listEndpoints(replicas);
        for (String replica : replicas) {
            harness.respondsToHealthChecks(replica, Role.REPLICA);
            harness.reportHealth(replica, Role.REPLICA, harness.now);
        }
        harness.healthChecks = 0;
        for (int i = 0; i < 200; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotNull(harness.sentTo(read), "read " + i + " is queued");
            harness.succeed(read);
            harness.advance(50 * MICROS_PER_MILLI);
        }
        assertTrue(harness.healthChecks <= 20, "health checks for 200 reads: " + harness.healthChecks);
    }

    @Test
    void exhaustedHealthCheckBudgetDoesNotDelayRequests() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        settings.healthCheckCost = 0.3;
        RouterTestHarness harness = RouterTestHarness.withKnownGroup(settings.build());
        harness.respondsToHealthChecks("r1", Role.REPLICA);
        harness.respondsToHealthChecks("r2", Role.REPLICA);
        for (int i = 0; i < 60; i++) {
            harness.commitWrite(5, harness.now + 900 * MICROS_PER_MILLI);
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
            harness.advance(1_300 * MICROS_PER_MILLI);
        }
        harness.advance(20_000 * MICROS_PER_MILLI);
        harness.healthChecks = 0;
        assertNotNull(harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        assertEquals(0, harness.healthChecks, "none is earned");
    }

    @Test
    void expensiveHealthChecksOfLongAttemptsComeLater() {
        assertTrue(timeToFirstHealthCheck(0.08) > 1.5 * timeToFirstHealthCheck(0.02));
        assertTrue(
                timeToFirstHealthCheck(0.08) < 1_000 * MICROS_PER_MILLI,
                "an unresponsive endpoint is still found while another may serve");
    }

    @Test
    void freshReplicaIsNotCheckedWhereReportsCarryNoLoad() {
        assertEquals(0, healthChecksOfBusyReplicas(Double.NaN), "the result could not release the read");
        assertTrue(healthChecksOfBusyReplicas(0) > 0, "the result could show an endpoint that has become idle");
    }

    /** Replicas respond so slowly that a read is queued; whether a health check helps depends on their reports. */
    private static int healthChecksOfBusyReplicas(double load) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        harness.listEndpoints("r1", "r2");
        for (int i = 0; i < 40; i++) {
            harness.reportHealth("r1", Role.REPLICA, harness.now, load, load);
            harness.reportHealth("r2", Role.REPLICA, harness.now, load, load);
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            if (harness.sentTo(read) != null) {
                harness.handle(new AttemptOutcome(
                        read,
                        0,
                        true,
                        AttemptResult.OK,
                        4_000 * MICROS_PER_MILLI,
                        harness.sentTo(read),
                        Role.REPLICA,
                        harness.now,
                        null));
            }
        }
        harness.healthChecks = 0;
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.advance(200 * MICROS_PER_MILLI);
        assertNull(harness.sentTo(read));
        return harness.healthChecks;
    }

    private static long timeToFirstHealthCheck(double healthCheckCost) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.healthCheckCost = healthCheckCost;
        RouterTestHarness harness = RouterTestHarness.withKnownGroup(settings.build());
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        while (!harness.isHealthCheckPending(harness.sentTo(read))
                && harness.now < RouterTestHarness.START + 2_000 * MICROS_PER_MILLI) {
            harness.advance(5 * MICROS_PER_MILLI);
        }
        return harness.now - RouterTestHarness.START;
    }

    @Test
    void selfCheckingReplicaIsAssumedToContinueReplicating() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.staleReadPolicy = StaleReadPolicy.WAIT;
        settings.sessionTokensCarried = true;
        settings.proxyCount = 300;
        RouterTestHarness harness = RouterTestHarness.withKnownGroup(settings.build());
        harness.now += 2_000 * MICROS_PER_MILLI;
        assertNotNull(
                harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, 800 * MICROS_PER_MILLI)),
                "it had reached that commit at its last report");
        RouterTestHarness behind = new RouterTestHarness(settings.build());
        behind.listEndpoints("r1");
        behind.reportHealth("r1", Role.REPLICA, behind.now - 600 * MICROS_PER_MILLI);
        behind.now += 2_000 * MICROS_PER_MILLI;
        assertNull(
                behind.sentTo(behind.request(RouterTestHarness.SESSION_READ, 5, 500 * MICROS_PER_MILLI)),
                "that commit is later than its assumed position");
        assertNotNull(
                behind.sentTo(behind.request(RouterTestHarness.BOUNDED_READ)), "it lagged 600 ms, the bound is 1,500");
    }

    @Test
    void replicaOfUnknownPositionIsAttemptedOnlyIfItChecksItself() {
        // Each of 100 proxies checked each of 48 replicas after its start: half of all health checks.
        for (StaleReadPolicy policy : StaleReadPolicy.values()) {
            RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
            settings.staleReadPolicy = policy;
            settings.proxyCount = 300;
            RouterTestHarness harness = new RouterTestHarness(settings.build());
            harness.listEndpoints("r1", "r2");
            long read = harness.request(RouterTestHarness.BOUNDED_READ);
            boolean attempted = policy != StaleReadPolicy.SERVE;
            assertEquals(attempted, harness.sentTo(read) != null, policy.toString());
            assertEquals(attempted ? 0 : 1, harness.healthChecks, policy.toString());
        }
    }

    /** Thirty replicas in turn: 60 responses after 30 ms, then 60 after the duration, or until a read is queued. */
    private static RouterTestHarness afterResponses(int proxyCount, long duration) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = proxyCount;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        String[] replicas = new String[30];
        Arrays.setAll(replicas, i -> "r" + i);
        harness.listEndpoints(replicas);
        long read = AbsentValue.NONE;
        for (int i = 0; i < 120 && (i == 0 || harness.sentTo(read) != null); i++) {
            harness.reportHealth(replicas[i % 30], Role.REPLICA, harness.now, Double.NaN, Double.NaN);
            read = harness.request(RouterTestHarness.EVENTUAL_READ);
            if (harness.sentTo(read) != null) {
                harness.handle(new AttemptOutcome(
                        read,
                        0,
                        true,
                        AttemptResult.OK,
                        i < 60 ? 30 * MICROS_PER_MILLI : duration,
                        harness.sentTo(read),
                        Role.REPLICA,
                        harness.now,
                        null));
            }
            harness.advance(20 * MICROS_PER_MILLI);
        }
        return harness;
    }

    @Test
    void overloadIsDetectedAcrossReplicasAndForgottenAfterwards() {
        // Each proxy used a replica every 6 s, took it for idle, and all sent into queues.
        RouterTestHarness calm = afterResponses(300, 30 * MICROS_PER_MILLI);
        assertNotNull(calm.sentTo(calm.request(RouterTestHarness.EVENTUAL_READ)));
        RouterTestHarness overloaded = afterResponses(300, 900 * MICROS_PER_MILLI);
        assertNull(
                overloaded.sentTo(overloaded.request(RouterTestHarness.EVENTUAL_READ)),
                "whichever is selected, the response would be late");
        overloaded.advance(2_500 * MICROS_PER_MILLI);
        assertNotNull(
                overloaded.sentTo(overloaded.request(RouterTestHarness.EVENTUAL_READ)),
                "no responses for two seconds: attempted again");
    }

    @Test
    void reportWithoutLoadShowsNoSpareCapacityToManyProxies() {
        for (int proxyCount : new int[] {3, 300}) {
            RouterTestHarness harness = afterResponses(proxyCount, 900 * MICROS_PER_MILLI);
            harness.updateEndpoint("p", EndpointStatus.LIVE, 0);
            harness.reportHealth("p", Role.PRIMARY, harness.now, Double.NaN, Double.NaN);
            String sent = harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ));
            assertEquals(proxyCount == 3 ? "p" : null, sent, "by " + proxyCount);
        }
    }

    @Test
    void slowAttemptsUnderOverloadAreNotCancelled() {
        // Under overload requests take long everywhere: a cancelled one continues at its database and runs twice.
        for (long duration : new long[] {30 * MICROS_PER_MILLI, 300 * MICROS_PER_MILLI}) {
            RouterTestHarness harness = afterResponses(300, duration);
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotNull(harness.sentTo(read));
            for (int i = 0; i < 100 && !harness.isCancelled(read); i++) {
                harness.reportHealth(harness.sentTo(read), Role.REPLICA, harness.now, Double.NaN, Double.NaN);
                harness.advance(5 * MICROS_PER_MILLI);
            }
            assertEquals(duration < 100 * MICROS_PER_MILLI, harness.isCancelled(read), "responses take " + duration);
        }
    }

    @Test
    void writeIsNotSentToAnUnresponsivePrimary() {
        // Non-idempotent writes stayed in hung primaries until their clients gave up.
        RouterTestHarness harness = withProxies(300);
        harness.advance(10_000 * MICROS_PER_MILLI);
        long write = harness.request(RouterTestHarness.WRITE);
        harness.respondsToHealthChecks("r2", Role.PRIMARY);
        harness.advance(100 * MICROS_PER_MILLI);
        assertEquals("r2", harness.sentTo(write), "the successor claims the role, p does not respond");
    }

    @Test
    void idleRouterSetsNoTimerAndChecksNothing() {
        // Periodic health checks of an idle proxy are a cost without use.
        RouterTestHarness harness = withProxies(300);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.succeed(read);
        harness.advance(500 * MICROS_PER_MILLI);
        harness.actions.clear();
        harness.advance(20_000 * MICROS_PER_MILLI);
        assertTrue(harness.actions.isEmpty(), harness.actions.toString());
    }

    @Test
    void healthChecksAreEarnedByRequests() {
        RouterTestHarness harness = withProxies(300);
        harness.commitWrite(5, harness.now + 60_000 * MICROS_PER_MILLI);
        for (int i = 0; i < 100; i++) {
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
            for (String endpoint : List.of("p", "r1", "r2")) {
                harness.respondsToHealthChecks(endpoint, Role.REPLICA);
            }
            harness.advance(100 * MICROS_PER_MILLI);
        }
        assertTrue(harness.healthChecks <= 40 + 1.5 * 101, "health checks: " + harness.healthChecks);
    }

    @Test
    void reportedQueueShiftsReadsToTheOtherReplica() {
        RouterTestHarness harness = withProxies(300);
        harness.reportHealth("r1", Role.REPLICA, harness.now, 20, 1);
        for (int i = 0; i < 20; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(read));
            harness.succeed(read);
        }
    }

    @Test
    void healthCheckWithoutAReportMakesTheReplicaUsable() {
        RouterTestHarness harness = withProxies(300);
        harness.advance(1_000 * MICROS_PER_MILLI);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        for (String endpoint : List.of("r1", "r2")) {
            harness.handle(new HealthCheckResult(endpoint, AttemptResult.OK, MICROS_PER_MILLI, null));
        }
        assertTrue(harness.sentTo(read).startsWith("r"));
    }

    @Test
    void freshReadUsesAnIdlePrimaryWhileReplicasAreFull() {
        RouterTestHarness harness = withProxies(90);
        harness.reportHealth("r1", Role.REPLICA, harness.now, 40, 1);
        harness.reportHealth("r2", Role.REPLICA, harness.now, 40, 1);
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        harness.commitWrite(5, harness.now + 10_000 * MICROS_PER_MILLI);
        assertNull(
                harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE)),
                "a read that no replica is fresh for never goes there");
        harness.reportHealth("p", Role.PRIMARY, harness.now, 0, 0.95);
        assertNull(
                harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)),
                "nor any read while the primary is busy");
    }

    @Test
    void clientRetryThatWouldBeLateIsRejectedImmediately() {
        RouterTestHarness harness = withProxies(300);
        long deadline = 2_000 * MICROS_PER_MILLI;
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 1_000 * MICROS_PER_MILLI));
            harness.succeed(ids.get(i));
        }
        long late = harness.requestExpiringAt(
                RouterTestHarness.EVENTUAL_READ, harness.now + deadline - 600 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(late), "first sent 600 ms ago, with an objective of 500");
        long early = harness.requestExpiringAt(
                RouterTestHarness.EVENTUAL_READ, harness.now + deadline - 100 * MICROS_PER_MILLI);
        assertFalse(harness.isRejected(early));
        long shortTimeout =
                harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 250 * MICROS_PER_MILLI);
        assertFalse(harness.isRejected(shortTimeout), "a short timeout is no retry");
    }

    @Test
    void requestWithTooShortADeadlineIsRejectedUnsent() {
        RouterTestHarness harness = withProxies(300);
        long id = harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 40 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(id));
        assertNull(harness.sentTo(id));
    }

    @Test
    void repeatedTimeoutsLowerTheSelectionWeight() {
        RouterTestHarness harness = withProxies(300);
        for (int i = 0; i < 4; i++) {
            harness.handle(new HealthCheckResult("r1", AttemptResult.TIMEOUT, 250 * MICROS_PER_MILLI, null));
        }
        harness.reportHealth("r1", Role.REPLICA, harness.now);
        harness.reportHealth("r2", Role.REPLICA, harness.now);
        int first = 0;
        for (int i = 0; i < 100; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            first += "r1".equals(harness.sentTo(read)) ? 1 : 0;
            harness.succeed(read);
        }
        assertTrue(first < 20, "r1 got " + first + " of 100");
    }

    @Test
    void oneTimeoutDoesNotEject() {
        RouterTestHarness harness = withProxies(300);
        harness.respondsToHealthChecks("r1", Role.REPLICA);
        harness.respondsToHealthChecks("r2", Role.REPLICA);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.advance(1_900 * MICROS_PER_MILLI);
        harness.endAttempt(read, AttemptResult.TIMEOUT, Role.UNKNOWN, AbsentValue.NONE);
        assertFalse(harness.actions.stream().anyMatch(a -> a.contains("ejected")));
    }

    @Test
    void lostReadsAreRetriedWithinTheBudgetAndWritesNever() {
        // Where most endpoints lose responses but pass health checks, waiting on misses the latency objective.
        RouterTestHarness harness = RouterTestHarness.withKnownGroup();
        for (String endpoint : List.of("r1", "r2")) {
            harness.respondsToHealthChecks(endpoint, Role.REPLICA);
        }
        harness.respondsToHealthChecks("p", Role.PRIMARY);
        for (int i = 0; i < 300; i++) {
            harness.succeed(harness.request(RouterTestHarness.EVENTUAL_READ));
            harness.now += 20 * MICROS_PER_MILLI;
        }
        long write = harness.request(RouterTestHarness.WRITE);
        int cancelledReads = 0;
        for (int i = 0; i < 80; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            for (int step = 0; step < 80 && !harness.isCancelled(read); step++) {
                harness.advance(5 * MICROS_PER_MILLI);
            }
            if (harness.isCancelled(read)) {
                cancelledReads++;
                harness.endAttempt(read, AttemptResult.CANCELLED, Role.UNKNOWN, AbsentValue.NONE);
                harness.advance(40 * MICROS_PER_MILLI);
                assertEquals(2, harness.attempts(read));
            }
            harness.endAttempt(read, AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
        }
        assertTrue(cancelledReads > 10 && cancelledReads <= 30 + 80 / 4, "within the budget: " + cancelledReads);
        assertFalse(harness.isCancelled(write));
        assertEquals(1, harness.attempts(write));
        assertFalse(harness.actions.stream().anyMatch(a -> a.contains("ejected")));
    }

    @Test
    void proxyWithoutEndpointsRejectsImmediately() {
        // Incident h9de977: proxies restarted with an empty list queued each request until it was late.
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        long write = harness.request(RouterTestHarness.WRITE);
        assertTrue(harness.isRejected(read));
        assertTrue(harness.isRejected(write));
        harness.listEndpoints("p", "r1");
        assertTrue(harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)) != null);
    }

    @Test
    void emptyListIsIgnoredWhereUnlistedEndpointsAreUsable() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withKnownGroup(settings.build());
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertTrue(
                harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)).startsWith("r"));
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.WRITE)));
        RouterTestHarness bound = withProxies(3);
        bound.handle(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertNull(
                bound.sentTo(bound.request(RouterTestHarness.EVENTUAL_READ)),
                "where unlisted endpoints are not usable, they get nothing");
    }

    @Test
    void removalAfterDrainingStillExcludesTheEndpoint() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withKnownGroup(settings.build());
        harness.updateEndpoint("r1", EndpointStatus.DRAINING, 0);
        List<Endpoint> rest = List.of(harness.endpointList.get(0), harness.endpointList.get(2));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, rest));
        for (int i = 0; i < 10; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(read), "removed while draining");
            harness.succeed(read);
        }
    }

    @Test
    void unreachableListedEndpointIsNotAttempted() {
        RouterTestHarness harness = withProxies(300);
        harness.endpointList.add(RouterTestHarness.endpoint("r9", EndpointStatus.LIVE, 0));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, harness.endpointList));
        harness.handle(new HealthCheckResult("r9", AttemptResult.UNREACHABLE, MICROS_PER_MILLI, null));
        for (int i = 0; i < 30; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotEquals("r9", harness.sentTo(read));
            harness.succeed(read);
        }
    }

    @Test
    void restartedGroupGetsABoundedTotalFromAllProxies() {
        // Incident i02beb3: each proxy could send one request immediately.
        int sent = 0;
        for (int proxy = 0; proxy < 300; proxy++) {
            RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
            settings.proxyCount = 300;
            RouterTestHarness harness = new RouterTestHarness(settings.build(), proxy);
            harness.endpointList.add(
                    RouterTestHarness.endpoint("r1", EndpointStatus.LIVE, harness.now - MICROS_PER_MILLI));
            harness.handle(new EndpointUpdate(EndpointUpdateKind.RESTORED, harness.endpointList));
            for (int i = 0; i < 4; i++) {
                long read = harness.request(RouterTestHarness.EVENTUAL_READ);
                if (harness.sentTo(read) != null) {
                    sent++;
                    harness.succeed(read);
                }
                harness.now += 250 * MICROS_PER_MILLI;
            }
        }
        assertTrue(sent >= 1 && sent <= 8, "sent by all within a second: " + sent);
    }

    @Test
    void groupInSlowStartIsServedByTheCapacityOfOtherGroups() {
        RouterTestHarness harness = withProxies(1);
        harness.handle(new EndpointUpdate(
                EndpointUpdateKind.INCREMENTAL,
                List.of(new Endpoint("c1", 0, 2, Role.UNKNOWN, EndpointStatus.LIVE, harness.now))));
        int sent = 0;
        List<Long> queued = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            harness.reportHealth("c1", Role.REPLICA, harness.now);
            harness.reportHealth("r1", Role.REPLICA, harness.now);
            harness.reportHealth("r2", Role.REPLICA, harness.now);
            harness.succeed(harness.request(RouterTestHarness.EVENTUAL_READ));
            queued.add(harness.requestToGroup(2, RouterTestHarness.EVENTUAL_READ));
            List<Long> served =
                    queued.stream().filter(id -> harness.sentTo(id) != null).toList();
            queued.removeAll(served);
            served.forEach(harness::succeed);
            sent += served.size();
            harness.now += 10 * MICROS_PER_MILLI;
        }
        assertTrue(sent > 16, "the minimum of three a second would be 12, sent " + sent);
    }
}
