package crankwick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import org.junit.jupiter.api.Test;

/** Each kind of read, each source of its token, and the wait. */
class ReadPathTest {
    private static final long MS = Rig.MS;

    @Test
    void sessionReadGoesToReplicaKnownPastItsToken() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r2", Role.REPLICA, commit);
        long read = rig.request(Rig.OWN, 5, RouterApi.NONE);
        assertEquals("r2", rig.sentTo(read));
    }

    @Test
    void positionOneMicrosecondShortDoesNotServe() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r2", Role.REPLICA, commit - 1);
        assertNull(rig.sentTo(rig.request(Rig.OWN, 5, RouterApi.NONE)));
    }

    @Test
    void positionNeverFalls() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        rig.report("r1", Role.REPLICA, commit);
        rig.report("r1", Role.REPLICA, commit - 500 * MS);
        assertEquals("r1", rig.sentTo(rig.request(Rig.OWN, 5, RouterApi.NONE)));
    }

    @Test
    void otherSessionsOweNothing() {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.write(5, rig.now);
        assertNotEquals("p", rig.sentTo(rig.request(Rig.OWN, 6, RouterApi.NONE)));
    }

    @Test
    void carriedTokenIsNowMinusItsAge() {
        Rig.Build build = new Rig.Build();
        build.tokensCarried = true;
        Rig rig = Rig.known(build.settings());
        long known = rig.now + 10 * MS;
        rig.report("r1", Role.REPLICA, known);
        rig.now = known + 40 * MS;
        assertNull(rig.sentTo(rig.request(Rig.OWN, 5, 40 * MS - 1)));
        assertEquals("r1", rig.sentTo(rig.request(Rig.OWN, 6, 40 * MS)));
        assertTrue(rig.sentTo(rig.request(Rig.OWN, 7, 0)).startsWith("r"));
    }

    @Test
    void boundedReadMovesItsTokenWithTime() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long level = rig.now;
        rig.report("r1", Role.REPLICA, level);
        rig.report("r2", Role.REPLICA, level);
        rig.now = level + 1_500 * MS;
        rig.report("r1", Role.REPLICA, level);
        assertTrue(rig.sentTo(rig.request(Rig.VIEW)).startsWith("r"));
        rig.now++;
        assertNull(rig.sentTo(rig.request(Rig.VIEW)));
    }

    @Test
    void answersThatCarryPositionsServeAsReports() {
        Rig.Build build = new Rig.Build();
        build.answersCarryPosition = true;
        Rig rig = Rig.known(build.settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        long any = rig.request(Rig.ANY);
        String server = rig.sentTo(any);
        rig.outcome(any, Result.OK, Role.REPLICA, commit + 1);
        assertEquals(server, rig.sentTo(rig.request(Rig.OWN, 5, RouterApi.NONE)));
    }

    @Test
    void unheardReplicaServesOnlyWhatOwesNothing() {
        Rig rig = new Rig(new Rig.Build().settings());
        rig.members("r1", "r2");
        assertNull(rig.sentTo(rig.request(Rig.VIEW)));
        assertTrue(rig.sentTo(rig.request(Rig.ANY)).startsWith("r"));
    }

    @Test
    void freshReadsAndWritesGoToThePrimaryAlone() {
        Rig rig = Rig.known(new Rig.Build().settings());
        assertEquals("p", rig.sentTo(rig.request(Rig.FRESH)));
        assertEquals("p", rig.sentTo(rig.request(Rig.WRITE)));
    }

    @Test
    void laggedReadNeverSpillsAndIsRefusedWithRetryAfter() {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.write(5, rig.now + 10_000 * MS);
        long read = rig.request(Rig.OWN, 5, RouterApi.NONE);
        for (int i = 0; i < 30; i++) {
            rig.advance(25 * MS);
            for (String server : new String[] {"p", "r1", "r2"}) {
                if (rig.actions.removeIf(a -> a.equals("probe " + server))) {
                    rig.tell(new RouterApi.ProbeResult(
                            server,
                            Result.OK,
                            MS,
                            new RouterApi.Report(rig.now, server.equals("p") ? Role.PRIMARY : Role.REPLICA, 0, 0, 0)));
                }
            }
        }
        assertNull(rig.sentTo(read));
        assertTrue(rig.refused(read));
        assertTrue(rig.actions.contains("retry-after " + read + " true"));
    }

    @Test
    void waiterIsReleasedByTheNextPoll() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        long read = rig.request(Rig.OWN, 5, RouterApi.NONE);
        assertNull(rig.sentTo(read));
        rig.report("r1", Role.REPLICA, commit + 1);
        assertEquals("r1", rig.sentTo(read));
    }

    @Test
    void onePollServesAllWaiters() {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.write(5, rig.now);
        for (int i = 0; i < 20; i++) {
            rig.request(Rig.OWN, 5, RouterApi.NONE);
        }
        rig.actions.removeIf(a -> a.startsWith("probe"));
        rig.advance(70 * MS);
        long polls = rig.actions.stream().filter(a -> a.equals("probe r1")).count();
        assertTrue(polls <= 1, "one probe in flight, however many wait");
    }

    @Test
    void memberFarBehindIsNotPolledQuickly() {
        // Incident ia21758: with every replica seconds behind, quick polls cost a tenth of the service.
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.write(5, rig.now + 5_000 * MS);
        rig.actions.clear();
        rig.tell(new RouterApi.Timer(2));
        int polls = 0;
        for (int i = 0; i < 16; i++) {
            rig.request(Rig.OWN, 5, RouterApi.NONE);
            rig.advance(25 * MS);
            if (rig.actions.removeIf(a -> a.equals("probe r1"))) {
                polls++;
                rig.tell(new RouterApi.ProbeResult(
                        "r1", Result.OK, MS, new RouterApi.Report(rig.now - 5_000 * MS, Role.REPLICA, 0, 0, 0)));
            }
        }
        assertTrue(polls >= 1 && polls <= 3, "polls in 400 ms: " + polls);
    }

    @Test
    void releaseDoesNotStampede() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long commit = rig.now + MS;
        rig.write(5, commit);
        for (int i = 0; i < 40; i++) {
            rig.request(Rig.OWN, 5, RouterApi.NONE);
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
        Rig.Build build = new Rig.Build();
        build.whenBehind = RouterApi.WhenBehind.REFUSE;
        build.tokensCarried = true;
        Rig rig = Rig.known(build.settings());
        rig.now += 100 * MS;
        rig.report("r1", Role.REPLICA, rig.now - 20 * MS);
        rig.report("r2", Role.REPLICA, rig.now - 20 * MS);
        long read = rig.request(Rig.OWN, 5, MS);
        String first = rig.sentTo(read);
        assertTrue(first.startsWith("r"));
        rig.outcome(read, Result.MISS, Role.REPLICA, RouterApi.NONE);
        assertFalse(rig.refused(read));
        rig.outcome(read, Result.MISS, Role.REPLICA, RouterApi.NONE);
        int tries = rig.attempts(read);
        assertFalse(rig.failed(read));
        rig.report("r1", Role.REPLICA, rig.now);
        assertEquals(tries + 1, rig.attempts(read));
        assertEquals("r1", rig.sentTo(read));
    }

    @Test
    void evictedSessionsFoldIntoTheFloorAndNeverReadStale() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long first = rig.now + MS;
        rig.write(0, first);
        for (int session = 1; session <= 20_000; session++) {
            rig.write(session, first - 1_000 * MS);
            rig.actions.clear();
        }
        assertNull(rig.sentTo(rig.request(Rig.OWN, 0, RouterApi.NONE)));
        assertNull(rig.sentTo(rig.request(Rig.OWN, 99_999, RouterApi.NONE)), "unknown session");
    }
}
