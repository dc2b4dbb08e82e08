package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests routing in a fleet of hundreds of proxies, each of which sends an endpoint a request every few seconds. */
class LargeFleetTest {
    @Test
    void selfCheckingReplicaIsAssumedToContinueReplicating() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.staleReadPolicy = StaleReadPolicy.WAIT;
        settings.sessionTokensCarried = true;
        settings.proxyCount = 300;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.now += 2_000 * MICROS_PER_MILLI;
        assertNotNull(
                harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, 800 * MICROS_PER_MILLI)),
                "the replica reported no lag, so its assumed position is later than the commit");
        RouterTestHarness behind = new RouterTestHarness(settings.build());
        behind.addEndpoints("r1");
        behind.reportHealth("r1", Role.REPLICA, behind.now - 600 * MICROS_PER_MILLI);
        behind.now += 2_000 * MICROS_PER_MILLI;
        assertNull(
                behind.sentTo(behind.request(RouterTestHarness.SESSION_READ, 5, 500 * MICROS_PER_MILLI)),
                "the commit is later than the assumed position of the replica");
        assertNotNull(
                behind.sentTo(behind.request(RouterTestHarness.BOUNDED_READ)),
                "the replica lagged 600 ms, within the staleness bound of 1,500 ms");
    }

    /**
     * Returns a harness after reads from 30 replicas: 60 responses that took 30 ms, then up to 60 that took {@code
     * duration}, stopping as soon as a read is queued.
     */
    private static RouterTestHarness afterResponses(int proxyCount, long duration) {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.proxyCount = proxyCount;
        RouterTestHarness harness = new RouterTestHarness(settings.build());
        String[] replicas = new String[30];
        Arrays.setAll(replicas, i -> "r" + i);
        harness.addEndpoints(replicas);
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
    void overloadIsDetectedAcrossReplicasAndExpires() {
        // Each proxy sent a replica a read only every 6 s and assumed the replica idle, so all proxies sent into
        // queues.
        RouterTestHarness unloaded = afterResponses(300, 30 * MICROS_PER_MILLI);
        assertNotNull(unloaded.sentTo(unloaded.request(RouterTestHarness.EVENTUAL_READ)));
        RouterTestHarness overloaded = afterResponses(300, 900 * MICROS_PER_MILLI);
        assertNull(
                overloaded.sentTo(overloaded.request(RouterTestHarness.EVENTUAL_READ)),
                "the response of any replica would be late");
        overloaded.advance(2_500 * MICROS_PER_MILLI);
        assertNotNull(
                overloaded.sentTo(overloaded.request(RouterTestHarness.EVENTUAL_READ)),
                "the latency estimate expires after two seconds without responses");
    }

    @Test
    void reportWithoutLoadDoesNotShowSpareCapacityInLargeFleet() {
        for (int proxyCount : new int[] {3, 300}) {
            RouterTestHarness harness = afterResponses(proxyCount, 900 * MICROS_PER_MILLI);
            harness.updateEndpoint("p", EndpointStatus.LIVE, 0);
            harness.reportHealth("p", Role.PRIMARY, harness.now, Double.NaN, Double.NaN);
            String sent = harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ));
            assertEquals(proxyCount == 3 ? "p" : null, sent, "proxyCount " + proxyCount);
        }
    }

    @Test
    void slowAttemptsUnderOverloadAreNotCancelled() {
        // Under overload all replicas are slow; a cancelled request continues at its database and is executed twice.
        for (long duration : new long[] {30 * MICROS_PER_MILLI, 300 * MICROS_PER_MILLI}) {
            RouterTestHarness harness = afterResponses(300, duration);
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertNotNull(harness.sentTo(read));
            for (int i = 0; i < 100 && !harness.isCancelled(read); i++) {
                harness.reportHealth(harness.sentTo(read), Role.REPLICA, harness.now, Double.NaN, Double.NaN);
                harness.advance(5 * MICROS_PER_MILLI);
            }
            assertEquals(
                    duration < 100 * MICROS_PER_MILLI, harness.isCancelled(read), "response time " + duration + " us");
        }
    }

    @Test
    void reportedQueueShiftsReadsToTheOtherReplica() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.reportHealth("r1", Role.REPLICA, harness.now, 20, 1);
        for (int i = 0; i < 20; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(read));
            harness.succeed(read);
        }
    }

    @Test
    void readUsesIdlePrimaryWhileFreshReplicasAreAtCapacity() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(90);
        harness.reportHealth("r1", Role.REPLICA, harness.now, 40, 1);
        harness.reportHealth("r2", Role.REPLICA, harness.now, 40, 1);
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)));
        harness.commitWrite(5, harness.now + 10_000 * MICROS_PER_MILLI);
        assertNull(
                harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE)),
                "the primary serves no read for which no replica is fresh");
        harness.reportHealth("p", Role.PRIMARY, harness.now, 0, 0.95);
        assertNull(harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)), "a busy primary serves no reads");
    }

    @Test
    void clientRetryThatWouldBeLateIsRejectedImmediately() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        long deadline = 2_000 * MICROS_PER_MILLI;
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 1_000 * MICROS_PER_MILLI));
            harness.succeed(ids.get(i));
        }
        long late = harness.requestExpiringAt(
                RouterTestHarness.EVENTUAL_READ, harness.now + deadline - 600 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(late), "first attempt was sent 600 ms ago, latency objective is 500 ms");
        long early = harness.requestExpiringAt(
                RouterTestHarness.EVENTUAL_READ, harness.now + deadline - 100 * MICROS_PER_MILLI);
        assertFalse(harness.isRejected(early));
        long shortTimeout =
                harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 250 * MICROS_PER_MILLI);
        assertFalse(harness.isRejected(shortTimeout), "a short timeout does not indicate a retry");
    }

    @Test
    void requestWithTooShortDeadlineIsRejectedWithoutAttempt() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        long id = harness.requestExpiringAt(RouterTestHarness.EVENTUAL_READ, harness.now + 40 * MICROS_PER_MILLI);
        assertTrue(harness.isRejected(id));
        assertNull(harness.sentTo(id));
    }

    @Test
    void restartedGroupGetsBoundedRequestsFromAllProxiesTogether() {
        // Incident i02beb3: every proxy could send one request immediately after the restart.
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
        assertTrue(sent >= 1 && sent <= 8, "sent by all proxies within one second: " + sent);
    }

    @Test
    void slowStartBudgetUsesCapacityOfOtherGroups() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(1);
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
        assertTrue(sent > 16, "the minimum rate of 3 per second would give 12, sent " + sent);
    }
}
