package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Health checks for queued and long-running requests, and their budget. */
class HealthCheckTest {
    @Test
    void readAfterALongIdlePeriodTriggersOneHealthCheck() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.advance(10_000 * MICROS_PER_MILLI);
        harness.actions.clear();
        long read = harness.request(RouterTestHarness.BOUNDED_READ);
        assertNull(harness.sentTo(read), "the last response of each replica is ten seconds old");
        assertEquals(1, harness.pendingHealthCheckCount(), "one replica is checked, not both");
        harness.autoRespondToHealthChecks("r1", Role.REPLICA);
        harness.autoRespondToHealthChecks("r2", Role.REPLICA);
        harness.advance(10 * MICROS_PER_MILLI);
        assertTrue(harness.sentTo(read).startsWith("r"));
    }

    @Test
    void infrequentResponsesDoNotRequireHealthChecks() {
        // Guards against health checks before most reads in a large fleet, which exhaust the health check budget.
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        String[] replicas = new String[30];
        Arrays.setAll(replicas, i -> "r" + i);
        harness.addEndpoints(replicas);
        for (String replica : replicas) {
            harness.autoRespondToHealthChecks(replica, Role.REPLICA);
            harness.reportHealth(replica, Role.REPLICA, harness.now);
        }
        harness.healthChecksSent = 0;
        for (int i = 0; i < 200; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotNull(harness.sentTo(read), "read " + i + " is queued");
            harness.succeed(read);
            harness.advance(50 * MICROS_PER_MILLI);
        }
        assertTrue(harness.healthChecksSent <= 20, "health checks for 200 reads: " + harness.healthChecksSent);
    }

    @Test
    void exhaustedHealthCheckBudgetDoesNotDelayRequests() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        settings.healthCheckCost = 0.3;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.autoRespondToHealthChecks("r1", Role.REPLICA);
        harness.autoRespondToHealthChecks("r2", Role.REPLICA);
        for (int i = 0; i < 60; i++) {
            harness.commitWrite(5, harness.now + 900 * MICROS_PER_MILLI);
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
            harness.advance(1_300 * MICROS_PER_MILLI);
        }
        harness.advance(20_000 * MICROS_PER_MILLI);
        harness.healthChecksSent = 0;
        assertNotNull(harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        assertEquals(0, harness.healthChecksSent, "the budget allows no health check");
    }

    @Test
    void expensiveHealthChecksOfLongAttemptsStartLater() {
        assertTrue(timeToFirstHealthCheck(0.08) > 1.5 * timeToFirstHealthCheck(0.02));
        assertTrue(
                timeToFirstHealthCheck(0.08) < 1_000 * MICROS_PER_MILLI,
                "an unresponsive endpoint is detected while a retry can still be served");
    }

    @Test
    void freshReplicaIsNotCheckedIfReportsCarryNoLoad() {
        assertEquals(0, healthChecksOfBusyReplicas(Double.NaN), "a report without load cannot release the read");
        assertTrue(healthChecksOfBusyReplicas(0) > 0, "a report with load can release the read");
    }

    @Test
    void replicaOfUnknownPositionIsAttemptedOnlyIfItDeclinesStaleReads() {
        // Guards against each of 100 proxies checking each of 48 replicas after its start: half of all health checks.
        for (StaleReadPolicy policy : StaleReadPolicy.values()) {
            RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
            settings.staleReadPolicy = policy;
            settings.proxyCount = 300;
            RouterTestHarness harness = new RouterTestHarness(settings.build());
            harness.addEndpoints("r1", "r2");
            long read = harness.request(RouterTestHarness.BOUNDED_READ);
            boolean attempted = policy != StaleReadPolicy.SERVE;
            assertEquals(attempted, harness.sentTo(read) != null, policy.toString());
            assertEquals(attempted ? 0 : 1, harness.healthChecksSent, policy.toString());
        }
    }

    @Test
    void writeIsNotSentToAnUnresponsivePrimary() {
        // Guards against non-idempotent writes that stay in a hung primary until their clients time out.
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.advance(10_000 * MICROS_PER_MILLI);
        long write = harness.request(RouterTestHarness.WRITE);
        harness.autoRespondToHealthChecks("r2", Role.PRIMARY);
        harness.advance(100 * MICROS_PER_MILLI);
        assertEquals("r2", harness.sentTo(write), "p does not respond and r2 reports the role of primary");
    }

    @Test
    void idleRouterSetsNoTimerAndStartsNoHealthCheck() {
        // Guards against periodic health checks by an idle proxy, which have a cost and no use.
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.succeed(read);
        harness.advance(500 * MICROS_PER_MILLI);
        harness.actions.clear();
        harness.advance(20_000 * MICROS_PER_MILLI);
        assertTrue(harness.actions.isEmpty(), harness.actions.toString());
    }

    @Test
    void healthChecksAreLimitedByTheNumberOfRequests() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.commitWrite(5, harness.now + 60_000 * MICROS_PER_MILLI);
        for (int i = 0; i < 100; i++) {
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
            for (String endpoint : List.of("p", "r1", "r2")) {
                harness.autoRespondToHealthChecks(endpoint, Role.REPLICA);
            }
            harness.advance(100 * MICROS_PER_MILLI);
        }
        assertTrue(harness.healthChecksSent <= 40 + 1.5 * 101, "health checks: " + harness.healthChecksSent);
    }

    @Test
    void healthCheckWithoutAReportMakesTheReplicaUsable() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.advance(1_000 * MICROS_PER_MILLI);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        for (String endpoint : List.of("r1", "r2")) {
            harness.handle(new HealthCheckResult(endpoint, AttemptResult.OK, MICROS_PER_MILLI, null));
        }
        assertTrue(harness.sentTo(read).startsWith("r"));
    }

    @Test
    void unreachableListedEndpointIsNotAttempted() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.endpointList.add(RouterTestHarness.endpoint("r9", EndpointStatus.LIVE, 0));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, harness.endpointList));
        harness.handle(new HealthCheckResult("r9", AttemptResult.UNREACHABLE, MICROS_PER_MILLI, null));
        for (int i = 0; i < 30; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotEquals("r9", harness.sentTo(read));
            harness.succeed(read);
        }
    }

    /** Counts the health checks for a read that is queued because both replicas respond slowly. */
    private static int healthChecksOfBusyReplicas(double load) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = 300;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        harness.addEndpoints("r1", "r2");
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
        harness.healthChecksSent = 0;
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.advance(200 * MICROS_PER_MILLI);
        assertNull(harness.sentTo(read));
        return harness.healthChecksSent;
    }

    private static long timeToFirstHealthCheck(double healthCheckCost) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.healthCheckCost = healthCheckCost;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        while (!harness.isHealthCheckPending(harness.sentTo(read))
                && harness.now < RouterTestHarness.START + 2_000 * MICROS_PER_MILLI) {
            harness.advance(5 * MICROS_PER_MILLI);
        }
        return harness.now - RouterTestHarness.START;
    }
}
