package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;
import crankwick.routing.api.TimerFired;
import org.junit.jupiter.api.Test;

/** Each kind of read, each source of its token, and the wait. */
class ReadPathTest {
    private static final long MS = RouterTestHarness.MS;

    @Test
    void sessionReadGoesToReplicaKnownPastItsToken() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r2", Role.REPLICA, commit);
        long read = rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        assertEquals("r2", rig.sentTo(read));
    }

    @Test
    void positionOneMicrosecondShortDoesNotServe() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r2", Role.REPLICA, commit - 1);
        assertNull(rig.sentTo(rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE)));
    }

    @Test
    void positionNeverFalls() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r1", Role.REPLICA, commit);
        rig.report("r1", Role.REPLICA, commit - 500 * MS);
        assertEquals("r1", rig.sentTo(rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE)));
    }

    @Test
    void otherSessionsOweNothing() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.write(5, rig.now);
        assertNotEquals("p", rig.sentTo(rig.request(RouterTestHarness.OWN, 6, AbsentValue.NONE)));
    }

    @Test
    void carriedTokenIsNowMinusItsAge() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.tokensCarried = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        long known = rig.now + 10 * MS;
        rig.report("r1", Role.REPLICA, known);
        rig.now = known + 40 * MS;
        assertNull(rig.sentTo(rig.request(RouterTestHarness.OWN, 5, 40 * MS - 1)));
        assertEquals("r1", rig.sentTo(rig.request(RouterTestHarness.OWN, 6, 40 * MS)));
        assertTrue(rig.sentTo(rig.request(RouterTestHarness.OWN, 7, 0)).startsWith("r"));
    }

    @Test
    void boundedReadMovesItsTokenWithTime() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long level = rig.now;
        rig.report("r1", Role.REPLICA, level);
        rig.report("r2", Role.REPLICA, level);
        rig.now = level + 1_500 * MS;
        rig.report("r1", Role.REPLICA, level);
        assertTrue(rig.sentTo(rig.request(RouterTestHarness.VIEW)).startsWith("r"));
        rig.now++;
        assertNull(rig.sentTo(rig.request(RouterTestHarness.VIEW)));
    }

    @Test
    void answersThatCarryPositionsServeAsReports() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.answersCarryPosition = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        long any = rig.request(RouterTestHarness.ANY);
        String server = rig.sentTo(any);
        rig.outcome(any, AttemptResult.OK, Role.REPLICA, commit + 1);
        assertEquals(server, rig.sentTo(rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE)));
    }

    @Test
    void unheardReplicaServesOnlyWhatOwesNothing() {
        RouterTestHarness rig = new RouterTestHarness(new RouterTestHarness.Build().settings());
        rig.members("r1", "r2");
        assertNull(rig.sentTo(rig.request(RouterTestHarness.VIEW)));
        assertTrue(rig.sentTo(rig.request(RouterTestHarness.ANY)).startsWith("r"));
    }

    @Test
    void freshReadsAndWritesGoToThePrimaryAlone() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        assertEquals("p", rig.sentTo(rig.request(RouterTestHarness.FRESH)));
        assertEquals("p", rig.sentTo(rig.request(RouterTestHarness.WRITE)));
    }

    @Test
    void laggedReadNeverSpillsAndIsRefusedWithRetryAfter() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.write(5, rig.now + 10_000 * MS);
        long read = rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        for (int i = 0; i < 30; i++) {
            rig.advance(25 * MS);
            for (String server : new String[] {"p", "r1", "r2"}) {
                if (rig.actions.removeIf(a -> a.equals("probe " + server))) {
                    rig.tell(new HealthCheckResult(
                            server,
                            AttemptResult.OK,
                            MS,
                            new LoadReport(rig.now, server.equals("p") ? Role.PRIMARY : Role.REPLICA, 0, 0, 0)));
                }
            }
        }
        assertNull(rig.sentTo(read));
        assertTrue(rig.refused(read));
        assertTrue(rig.actions.contains("retry-after " + read + " true"));
    }

    @Test
    void waiterIsReleasedByTheNextPoll() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        long read = rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        assertNull(rig.sentTo(read));
        rig.report("r1", Role.REPLICA, commit + 1);
        assertEquals("r1", rig.sentTo(read));
    }

    @Test
    void onePollServesAllWaiters() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.write(5, rig.now);
        for (int i = 0; i < 20; i++) {
            rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        }
        rig.actions.removeIf(a -> a.startsWith("probe"));
        rig.advance(70 * MS);
        long polls = rig.actions.stream().filter(a -> a.equals("probe r1")).count();
        assertTrue(polls <= 1, "one probe in flight, however many wait");
    }

    @Test
    void memberFarBehindIsNotPolledQuickly() {
        // Incident ia21758: with every replica seconds behind, quick polls cost a tenth of the service.
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.write(5, rig.now + 5_000 * MS);
        rig.actions.clear();
        rig.tell(new TimerFired(2));
        int polls = 0;
        for (int i = 0; i < 16; i++) {
            rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
            rig.advance(25 * MS);
            if (rig.actions.removeIf(a -> a.equals("probe r1"))) {
                polls++;
                rig.tell(new HealthCheckResult(
                        "r1", AttemptResult.OK, MS, new LoadReport(rig.now - 5_000 * MS, Role.REPLICA, 0, 0, 0)));
            }
        }
        assertTrue(polls >= 1 && polls <= 3, "polls in 400 ms: " + polls);
    }

    @Test
    void releaseDoesNotStampede() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        for (int i = 0; i < 40; i++) {
            rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        }
        long before = rig.actions.stream()
                .filter(a -> a.endsWith(" r1") && a.startsWith("send"))
                .count();
        rig.report("r1", Role.REPLICA, commit);
        long after = rig.actions.stream()
                .filter(a -> a.endsWith(" r1") && a.startsWith("send"))
                .count();
        assertTrue(after - before > 0 && after - before < 20, "released " + (after - before));
    }

    @Test
    void checkingReplicaCloseBehindMayBeTriedAndMissRejoinsTheWait() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.whenBehind = StaleReadPolicy.REJECT;
        build.tokensCarried = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.now += 100 * MS;
        rig.report("r1", Role.REPLICA, rig.now - 20 * MS);
        rig.report("r2", Role.REPLICA, rig.now - 20 * MS);
        long read = rig.request(RouterTestHarness.OWN, 5, MS);
        String first = rig.sentTo(read);
        assertTrue(first.startsWith("r"));
        rig.outcome(read, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        assertFalse(rig.refused(read));
        rig.outcome(read, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        int tries = rig.attempts(read);
        assertFalse(rig.failed(read));
        rig.report("r1", Role.REPLICA, rig.now);
        assertEquals(tries + 1, rig.attempts(read));
        assertEquals("r1", rig.sentTo(read));
    }

    @Test
    void evictedSessionsFoldIntoTheFloorAndNeverReadStale() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long first = rig.now + MS;
        rig.write(0, first);
        for (int session = 1; session <= 20_000; session++) {
            rig.write(session, first - 1_000 * MS);
            rig.actions.clear();
        }
        assertNull(rig.sentTo(rig.request(RouterTestHarness.OWN, 0, AbsentValue.NONE)));
        assertNull(rig.sentTo(rig.request(RouterTestHarness.OWN, 99_999, AbsentValue.NONE)), "unknown session");
    }
}
