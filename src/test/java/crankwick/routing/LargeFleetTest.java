package crankwick.routing;

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

/** Hundreds of gateways, each of which meets a server every few seconds. */
class LargeFleetTest {
    private static final long MS = RouterTestHarness.MS;

    private static RouterTestHarness known(int instances) {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = instances;
        return RouterTestHarness.known(build.settings());
    }

    private static long count(RouterTestHarness rig, String prefix) {
        return rig.actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    @Test
    void readAfterLongQuietIsServedByEvidenceFetchedForIt() {
        RouterTestHarness rig = known(300);
        rig.advance(10_000 * MS);
        rig.actions.clear();
        long read = rig.request(RouterTestHarness.VIEW);
        assertNull(rig.sentTo(read), "what is known is ten seconds old");
        assertEquals(1, count(rig, "probe"), "one replica is asked, not all");
        rig.answers("r1", Role.REPLICA);
        rig.answers("r2", Role.REPLICA);
        rig.advance(10 * MS);
        assertTrue(rig.sentTo(read).startsWith("r"));
    }

    @Test
    void readGoesOutUnaskedWhereEachMemberIsMetRarely() {
        // Days at size: 14 gateways asked before most reads, until no probe was left.
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = 300;
        RouterTestHarness rig = new RouterTestHarness(build.settings());
        String[] members = new String[30];
        Arrays.setAll(members, i -> "r" + i);
        rig.members(members);
        for (String member : members) {
            rig.answers(member, Role.REPLICA);
            rig.report(member, Role.REPLICA, rig.now);
        }
        rig.probes = 0;
        for (int i = 0; i < 200; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            assertNotNull(rig.sentTo(read), "read " + i + " waits");
            rig.ok(read);
            rig.advance(50 * MS);
        }
        assertTrue(rig.probes <= 20, "probes for 200 reads: " + rig.probes);
    }

    @Test
    void withNoProbeEarnedWorkGoesOutUnasked() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = 300;
        build.probePrice = 0.3;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.answers("r1", Role.REPLICA);
        rig.answers("r2", Role.REPLICA);
        for (int i = 0; i < 60; i++) {
            rig.write(5, rig.now + 900 * MS);
            rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
            rig.advance(1_300 * MS);
        }
        rig.advance(20_000 * MS);
        rig.probes = 0;
        assertNotNull(rig.sentTo(rig.request(RouterTestHarness.ANY)));
        assertEquals(0, rig.probes, "none is earned");
    }

    @Test
    void longWorkIsAskedAboutLaterWhereProbesAreDear() {
        assertTrue(askedAfter(0.08) > 1.5 * askedAfter(0.02));
        assertTrue(askedAfter(0.08) < 1_000 * MS, "a silent member is still found while another may serve");
    }

    @Test
    void memberThatIsLevelIsNotAskedWhereReportsTellNoLoad() {
        assertEquals(0, probesOfBusyReplicas(Double.NaN), "the answer could not let the read go");
        assertTrue(probesOfBusyReplicas(0) > 0, "the answer could tell of a member that has become free");
    }

    /** Replicas answer so slowly that a read waits; whether asking them helps depends on their reports. */
    private static int probesOfBusyReplicas(double load) {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = 300;
        RouterTestHarness rig = new RouterTestHarness(build.settings());
        rig.members("r1", "r2");
        for (int i = 0; i < 40; i++) {
            rig.report("r1", Role.REPLICA, rig.now, load, load);
            rig.report("r2", Role.REPLICA, rig.now, load, load);
            long read = rig.request(RouterTestHarness.ANY);
            if (rig.sentTo(read) != null) {
                rig.tell(new AttemptOutcome(
                        read, 0, true, AttemptResult.OK, 4_000 * MS, rig.sentTo(read), Role.REPLICA, rig.now, null));
            }
        }
        rig.probes = 0;
        long read = rig.request(RouterTestHarness.ANY);
        rig.advance(200 * MS);
        assertNull(rig.sentTo(read));
        return rig.probes;
    }

    private static long askedAfter(double price) {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.probePrice = price;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        long read = rig.request(RouterTestHarness.ANY);
        while (!rig.probing(rig.sentTo(read)) && rig.now < RouterTestHarness.START + 2_000 * MS) {
            rig.advance(5 * MS);
        }
        return rig.now - RouterTestHarness.START;
    }

    @Test
    void checkingReplicaHeardLongAgoIsTakenToHaveGoneOnApplying() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.whenBehind = StaleReadPolicy.WAIT;
        build.tokensCarried = true;
        build.instances = 300;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.now += 2_000 * MS;
        assertNotNull(
                rig.sentTo(rig.request(RouterTestHarness.OWN, 5, 800 * MS)), "level when heard, after that commit");
        RouterTestHarness behind = new RouterTestHarness(build.settings());
        behind.members("r1");
        behind.report("r1", Role.REPLICA, behind.now - 600 * MS);
        behind.now += 2_000 * MS;
        assertNull(
                behind.sentTo(behind.request(RouterTestHarness.OWN, 5, 500 * MS)), "that commit is later than it was");
        assertNotNull(
                behind.sentTo(behind.request(RouterTestHarness.VIEW)), "it was 600 ms behind, the bound is 1,500");
    }

    @Test
    void checkingReplicaNeverHeardIsTriedAndOneThatDoesNotCheckIsAsked() {
        // Full fleet: each of 100 gateways asked each of 48 replicas after its start, half of all probes.
        for (StaleReadPolicy checks : StaleReadPolicy.values()) {
            RouterTestHarness.Build build = new RouterTestHarness.Build();
            build.whenBehind = checks;
            build.instances = 300;
            RouterTestHarness rig = new RouterTestHarness(build.settings());
            rig.members("r1", "r2");
            long read = rig.request(RouterTestHarness.VIEW);
            boolean tried = checks != StaleReadPolicy.SERVE;
            assertEquals(tried, rig.sentTo(read) != null, checks.toString());
            assertEquals(tried ? 0 : 1, rig.probes, checks.toString());
        }
    }

    /** Thirty replicas met in turn: 60 answers after 30 ms, then 60 after so long, or until a read waits. */
    private static RouterTestHarness met(int instances, long duration) {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = instances;
        RouterTestHarness rig = new RouterTestHarness(build.settings());
        String[] members = new String[30];
        Arrays.setAll(members, i -> "r" + i);
        rig.members(members);
        long read = AbsentValue.NONE;
        for (int i = 0; i < 120 && (i == 0 || rig.sentTo(read) != null); i++) {
            rig.report(members[i % 30], Role.REPLICA, rig.now, Double.NaN, Double.NaN);
            read = rig.request(RouterTestHarness.ANY);
            if (rig.sentTo(read) != null) {
                rig.tell(new AttemptOutcome(
                        read,
                        0,
                        true,
                        AttemptResult.OK,
                        i < 60 ? 30 * MS : duration,
                        rig.sentTo(read),
                        Role.REPLICA,
                        rig.now,
                        null));
            }
            rig.advance(20 * MS);
        }
        return rig;
    }

    @Test
    void rushIsToldByAllReplicasTogetherAndForgottenAfterIt() {
        // Full fleet: each gateway met a replica every 6 s, took it for calm, and all sent into queues.
        RouterTestHarness calm = met(300, 30 * MS);
        assertNotNull(calm.sentTo(calm.request(RouterTestHarness.ANY)));
        RouterTestHarness rush = met(300, 900 * MS);
        assertNull(rush.sentTo(rush.request(RouterTestHarness.ANY)), "whichever is drawn, it would be late");
        rush.advance(2_500 * MS);
        assertNotNull(rush.sentTo(rush.request(RouterTestHarness.ANY)), "no news for two seconds: tried again");
    }

    @Test
    void reportWithoutLoadIsNoSignOfRoomForManyGateways() {
        for (int instances : new int[] {3, 300}) {
            RouterTestHarness rig = met(instances, 900 * MS);
            rig.change("p", EndpointStatus.LIVE, 0);
            rig.report("p", Role.PRIMARY, rig.now, Double.NaN, Double.NaN);
            String sent = rig.sentTo(rig.request(RouterTestHarness.ANY));
            assertEquals(instances == 3 ? "p" : null, sent, "by " + instances);
        }
    }

    @Test
    void workInARushIsNotTakenForLost() {
        // In a rush work takes long everywhere: withdrawn, it goes on at its database, and is done twice.
        for (long duration : new long[] {30 * MS, 300 * MS}) {
            RouterTestHarness rig = met(300, duration);
            long read = rig.request(RouterTestHarness.ANY);
            assertNotNull(rig.sentTo(read));
            for (int i = 0; i < 100 && !rig.cancelled(read); i++) {
                rig.report(rig.sentTo(read), Role.REPLICA, rig.now, Double.NaN, Double.NaN);
                rig.advance(5 * MS);
            }
            assertEquals(duration < 100 * MS, rig.cancelled(read), "answers take " + duration);
        }
    }

    @Test
    void writeIsNotSentToAPrimaryThatStoppedMeanwhile() {
        // Days with hangs and flapping: unsafe writes stayed in hung primaries until their clients left.
        RouterTestHarness rig = known(300);
        rig.advance(10_000 * MS);
        long write = rig.request(RouterTestHarness.WRITE);
        rig.answers("r2", Role.PRIMARY);
        rig.advance(100 * MS);
        assertEquals("r2", rig.sentTo(write), "the successor claims the role, p stays silent");
    }

    @Test
    void nothingIsPolledOrTimedWhileNothingWaits() {
        // The later deployments, untouched: standing polls cost 0.1 to 0.5 of the service.
        RouterTestHarness rig = known(300);
        long read = rig.request(RouterTestHarness.ANY);
        rig.ok(read);
        rig.advance(500 * MS);
        rig.actions.clear();
        rig.advance(20_000 * MS);
        assertTrue(rig.actions.isEmpty(), rig.actions.toString());
    }

    @Test
    void probesAreEarnedByRequests() {
        RouterTestHarness rig = known(300);
        rig.write(5, rig.now + 60_000 * MS);
        for (int i = 0; i < 100; i++) {
            rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
            for (String server : List.of("p", "r1", "r2")) {
                rig.answers(server, Role.REPLICA);
            }
            rig.advance(100 * MS);
        }
        assertTrue(rig.probes <= 40 + 1.5 * 101, "probes: " + rig.probes);
    }

    @Test
    void queueInAReportTurnsReadsToTheOtherReplica() {
        RouterTestHarness rig = known(300);
        rig.report("r1", Role.REPLICA, rig.now, 20, 1);
        for (int i = 0; i < 20; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            assertEquals("r2", rig.sentTo(read));
            rig.ok(read);
        }
    }

    @Test
    void missingReportLeavesTheModulesOwnKnowledge() {
        RouterTestHarness rig = known(300);
        rig.advance(1_000 * MS);
        long read = rig.request(RouterTestHarness.ANY);
        for (String server : List.of("r1", "r2")) {
            rig.tell(new HealthCheckResult(server, AttemptResult.OK, MS, null));
        }
        assertTrue(rig.sentTo(read).startsWith("r"));
    }

    @Test
    void fullReplicasBesideAnIdlePrimaryLendItAReadThatDoesNotLag() {
        RouterTestHarness rig = known(90);
        rig.report("r1", Role.REPLICA, rig.now, 40, 1);
        rig.report("r2", Role.REPLICA, rig.now, 40, 1);
        assertEquals("p", rig.sentTo(rig.request(RouterTestHarness.ANY)));
        rig.write(5, rig.now + 10_000 * MS);
        assertNull(
                rig.sentTo(rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE)), "a lagging read never goes there");
        rig.report("p", Role.PRIMARY, rig.now, 0, 0.95);
        assertNull(rig.sentTo(rig.request(RouterTestHarness.ANY)), "nor any read while the primary is busy");
    }

    @Test
    void retryThatCanOnlyComeLateIsRefusedAtOnce() {
        RouterTestHarness rig = known(300);
        long deadline = 2_000 * MS;
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(rig.requestUntil(RouterTestHarness.ANY, rig.now + 1_000 * MS));
            rig.ok(ids.get(i));
        }
        long late = rig.requestUntil(RouterTestHarness.ANY, rig.now + deadline - 600 * MS);
        assertTrue(rig.refused(late), "first asked 600 ms ago, wanted within 500");
        long early = rig.requestUntil(RouterTestHarness.ANY, rig.now + deadline - 100 * MS);
        assertFalse(rig.refused(early));
        long impatient = rig.requestUntil(RouterTestHarness.ANY, rig.now + 250 * MS);
        assertFalse(rig.refused(impatient), "little time from the start is no later try");
    }

    @Test
    void clientWithTooLittleTimeIsRefusedAndNothingIsSent() {
        RouterTestHarness rig = known(300);
        long id = rig.requestUntil(RouterTestHarness.ANY, rig.now + 40 * MS);
        assertTrue(rig.refused(id));
        assertNull(rig.sentTo(id));
    }

    @Test
    void silentMemberIsDrawnLessTheOftenerItWasSilent() {
        RouterTestHarness rig = known(300);
        for (int i = 0; i < 4; i++) {
            rig.tell(new HealthCheckResult("r1", AttemptResult.TIMEOUT, 250 * MS, null));
        }
        rig.report("r1", Role.REPLICA, rig.now);
        rig.report("r2", Role.REPLICA, rig.now);
        int first = 0;
        for (int i = 0; i < 100; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            first += "r1".equals(rig.sentTo(read)) ? 1 : 0;
            rig.ok(read);
        }
        assertTrue(first < 20, "r1 got " + first + " of 100");
    }

    @Test
    void oneLostAnswerEjectsNobody() {
        RouterTestHarness rig = known(300);
        rig.answers("r1", Role.REPLICA);
        rig.answers("r2", Role.REPLICA);
        long read = rig.request(RouterTestHarness.ANY);
        rig.advance(1_900 * MS);
        rig.outcome(read, AttemptResult.TIMEOUT, Role.UNKNOWN, AbsentValue.NONE);
        assertFalse(rig.actions.stream().anyMatch(a -> a.contains("ejected")));
    }

    @Test
    void lostAnswersAreTriedAgainInTimeWithinTheBudgetAndWritesNever() {
        // With most members losing answers while probes are answered, waiting on was the whole aim lost.
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        for (String server : List.of("r1", "r2")) {
            rig.answers(server, Role.REPLICA);
        }
        rig.answers("p", Role.PRIMARY);
        for (int i = 0; i < 300; i++) {
            rig.ok(rig.request(RouterTestHarness.ANY));
            rig.now += 20 * MS;
        }
        long write = rig.request(RouterTestHarness.WRITE);
        int withdrawn = 0;
        for (int i = 0; i < 80; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            for (int step = 0; step < 80 && !rig.cancelled(read); step++) {
                rig.advance(5 * MS);
            }
            if (rig.cancelled(read)) {
                withdrawn++;
                rig.outcome(read, AttemptResult.CANCELLED, Role.UNKNOWN, AbsentValue.NONE);
                rig.advance(40 * MS);
                assertEquals(2, rig.attempts(read));
            }
            rig.outcome(read, AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
        }
        assertTrue(withdrawn > 10 && withdrawn <= 30 + 80 / 4, "within the budget: " + withdrawn);
        assertFalse(rig.cancelled(write));
        assertEquals(1, rig.attempts(write));
        assertFalse(rig.actions.stream().anyMatch(a -> a.contains("ejected")));
    }

    @Test
    void gatewayThatKnowsNoMemberRefusesAtOnceSoThatAnotherMayServe() {
        // Hunt day h9de977: gateways restarted with an empty list held each request until it was late.
        RouterTestHarness rig = new RouterTestHarness(new RouterTestHarness.Build().settings());
        long read = rig.request(RouterTestHarness.ANY);
        long write = rig.request(RouterTestHarness.WRITE);
        assertTrue(rig.refused(read));
        assertTrue(rig.refused(write));
        rig.members("p", "r1");
        assertTrue(rig.sentTo(rig.request(RouterTestHarness.ANY)) != null);
    }

    @Test
    void listThatCallsAllGoneIsNotBelievedWhereOnlyDrainingBinds() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.onlyDrainingBinds = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.tell(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertTrue(rig.sentTo(rig.request(RouterTestHarness.ANY)).startsWith("r"));
        assertEquals("p", rig.sentTo(rig.request(RouterTestHarness.WRITE)));
        RouterTestHarness bound = known(3);
        bound.tell(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertNull(bound.sentTo(bound.request(RouterTestHarness.ANY)), "where gone binds, it is obeyed");
    }

    @Test
    void olderListDoesNotTakeBackADrain() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.onlyDrainingBinds = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.change("r1", EndpointStatus.DRAINING, 0);
        List<Endpoint> rest = List.of(rig.list.get(0), rig.list.get(2));
        rig.tell(new EndpointUpdate(EndpointUpdateKind.FULL, rest));
        for (int i = 0; i < 10; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            assertEquals("r2", rig.sentTo(read), "gone after draining still binds");
            rig.ok(read);
        }
    }

    @Test
    void listedServerThatDoesNotExistCostsOneProbe() {
        RouterTestHarness rig = known(300);
        rig.list.add(RouterTestHarness.member("r9", EndpointStatus.LIVE, 0));
        rig.tell(new EndpointUpdate(EndpointUpdateKind.FULL, rig.list));
        rig.tell(new HealthCheckResult("r9", AttemptResult.UNREACHABLE, MS, null));
        for (int i = 0; i < 30; i++) {
            long read = rig.request(RouterTestHarness.ANY);
            assertNotEquals("r9", rig.sentTo(read));
            rig.ok(read);
        }
    }

    @Test
    void groupThatRestartedAtOnceGetsABoundedSumFromAllGateways() {
        // Incident i02beb3 and the untouched scores: each gateway could send one at once.
        int sent = 0;
        for (int gateway = 0; gateway < 300; gateway++) {
            RouterTestHarness.Build build = new RouterTestHarness.Build();
            build.instances = 300;
            RouterTestHarness rig = new RouterTestHarness(build.settings(), gateway);
            rig.list.add(RouterTestHarness.member("r1", EndpointStatus.LIVE, rig.now - MS));
            rig.tell(new EndpointUpdate(EndpointUpdateKind.RESTORED, rig.list));
            for (int i = 0; i < 4; i++) {
                long read = rig.request(RouterTestHarness.ANY);
                if (rig.sentTo(read) != null) {
                    sent++;
                    rig.ok(read);
                }
                rig.now += 250 * MS;
            }
        }
        assertTrue(sent >= 1 && sent <= 8, "sent by all within a second: " + sent);
    }

    @Test
    void groupWithOnlyColdMembersIsServedByTheYardstickOfTheOthers() {
        RouterTestHarness rig = known(1);
        rig.tell(new EndpointUpdate(
                EndpointUpdateKind.INCREMENTAL,
                List.of(new Endpoint("c1", 0, 2, Role.UNKNOWN, EndpointStatus.LIVE, rig.now))));
        int sent = 0;
        List<Long> waiting = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            rig.report("c1", Role.REPLICA, rig.now);
            rig.report("r1", Role.REPLICA, rig.now);
            rig.report("r2", Role.REPLICA, rig.now);
            rig.ok(rig.request(RouterTestHarness.ANY));
            waiting.add(rig.requestTo(2, RouterTestHarness.ANY));
            List<Long> served =
                    waiting.stream().filter(id -> rig.sentTo(id) != null).toList();
            waiting.removeAll(served);
            served.forEach(rig::ok);
            sent += served.size();
            rig.now += 10 * MS;
        }
        assertTrue(sent > 16, "three a second at least would be 12, sent " + sent);
    }
}
