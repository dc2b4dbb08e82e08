package crankwick;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The rules that no run may break, one by one. */
class RulesTest {
    /** Guards against memory that grows with each server there ever was, and each group anyone asked for. */
    @Test
    void forgetsWhatIsGoneAndWhatNeverWas() {
        Rig rig = Rig.known(new Rig.Build().settings());
        for (int i = 0; i < 200; i++) {
            rig.change("s" + i, RouterApi.Standing.LIVE, 0);
            rig.change("s" + (i - 3), RouterApi.Standing.GONE, 0);
            assertTrue(rig.refused(rig.requestTo(1_000 + i, Rig.VIEW)));
            rig.advance(1_000 * Rig.MS);
        }
        assertTrue(rig.router.known() < 50, "kept: " + rig.router.known());
    }

    private static final long MS = Rig.MS;

    @ParameterizedTest
    @EnumSource(value = Result.class, names = "OK", mode = EnumSource.Mode.EXCLUDE)
    void unsafeWriteIsRepeatedOrRefusedOnlyIfItNeverRan(Result result) {
        Rig rig = Rig.known(new Rig.Build().settings());
        long write = rig.request(Rig.WRITE);
        rig.outcome(write, result, Role.UNKNOWN, RouterApi.NONE);
        rig.advance(3_000 * MS);
        if (result.provesNotRun()) {
            assertFalse(rig.failed(write));
            assertTrue(rig.attempts(write) > 1 || rig.refused(write));
        } else {
            assertEquals(1, rig.attempts(write));
            assertTrue(rig.failed(write));
            assertFalse(rig.refused(write));
        }
    }

    @Test
    void keyedWriteThatMayHaveRunIsNeverRefusedWhereTheScopeIsNarrow() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long write = rig.request(Rig.KEYED);
        rig.outcome(write, Result.RESET, Role.UNKNOWN, RouterApi.NONE);
        assertEquals(2, rig.attempts(write), "its repeat is discarded within the group");
        rig.outcome(write, Result.UNREACHABLE, Role.UNKNOWN, RouterApi.NONE);
        rig.advance(3_000 * MS);
        assertTrue(rig.failed(write));
        assertFalse(rig.refused(write));
    }

    @Test
    void everyRequestIsAnsweredWithNoMemberAtAll() {
        Rig rig = new Rig(new Rig.Build().settings());
        for (int cls = Rig.VIEW; cls <= Rig.KEYED; cls++) {
            long id = rig.request(cls);
            rig.advance(2_000 * MS);
            assertTrue(rig.refused(id), "class " + cls);
        }
    }

    @Test
    void timeOutAtTheDeadlineIsAnsweredAtOnce() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long read = rig.request(Rig.ANY);
        rig.now += 2_000 * MS;
        rig.outcome(read, Result.TIMEOUT, Role.UNKNOWN, RouterApi.NONE);
        assertTrue(rig.refused(read));
    }

    @Test
    void nothingIsSentOnceTheClientHasLeft() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long read = rig.request(Rig.ANY);
        rig.tell(new RouterApi.Gone(read));
        rig.outcome(read, Result.ERROR, Role.UNKNOWN, RouterApi.NONE);
        rig.advance(500 * MS);
        assertEquals(1, rig.attempts(read));
        assertFalse(rig.refused(read) || rig.failed(read));
    }

    @Test
    void lateNewsOfUnknownThingsIsIgnored() {
        Rig rig = Rig.known(new Rig.Build().settings());
        int before = rig.actions.size();
        rig.tell(new RouterApi.Outcome(77, 0, false, Result.OK, MS, "r1", Role.REPLICA, 5, null));
        rig.tell(new RouterApi.ProbeResult("nobody", Result.OK, MS, null));
        rig.tell(new RouterApi.Timer(12_345));
        rig.tell(new RouterApi.Gone(77));
        rig.tell(new RouterApi.Started(77));
        assertEquals(before, rig.actions.size());
    }

    @ParameterizedTest
    @EnumSource(value = Standing.class, names = "LIVE", mode = EnumSource.Mode.EXCLUDE)
    void nothingNewGoesToAMemberThatDrainsOrIsGone(Standing standing) {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.change("r1", standing, 0);
        for (int i = 0; i < 20; i++) {
            long id = rig.request(Rig.ANY);
            assertEquals("r2", rig.sentTo(id));
            rig.ok(id);
        }
    }

    @Test
    void absentFromAFullListIsGone() {
        Rig rig = Rig.known(new Rig.Build().settings());
        List<RouterApi.Member> rest = List.of(rig.list.get(0), rig.list.get(2));
        rig.tell(new RouterApi.Membership(RouterApi.ListKind.FULL, rest));
        assertEquals("r2", rig.sentTo(rig.request(Rig.ANY)));
    }

    @Test
    void whereOnlyDrainingBindsGoneIsNoProof() {
        Rig.Build build = new Rig.Build();
        build.onlyDrainingBinds = true;
        Rig rig = Rig.known(build.settings());
        rig.change("r1", Standing.GONE, 0);
        rig.change("r2", Standing.DRAINING, 0);
        rig.change("r2", Standing.GONE, 0);
        assertEquals("r1", rig.sentTo(rig.request(Rig.ANY)));
        rig.change("r2", Standing.LIVE, 0);
        rig.change("r1", Standing.DRAINING, 0);
        assertEquals("r2", rig.sentTo(rig.request(Rig.ANY)));
    }

    @Test
    void burstAtAColdMemberIsHeldToItsBudget() {
        Rig rig = new Rig(new Rig.Build().settings());
        rig.list.add(Rig.member("r1", Standing.LIVE, rig.now - 100 * MS));
        rig.tell(new RouterApi.Membership(RouterApi.ListKind.RESTORED, rig.list));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            long id = rig.request(Rig.ANY);
            if (rig.sentTo(id) != null) {
                sent++;
                rig.ok(id);
            }
            rig.now += 10 * MS;
        }
        assertTrue(sent >= 1 && sent <= 3, "sent " + sent + " within a second");
    }

    @Test
    void refusedConnectionsThenAnAnswerMeanAColdProcess() {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.change("r2", Standing.GONE, 0);
        long read = rig.request(Rig.ANY);
        rig.outcome(read, Result.UNREACHABLE, Role.UNKNOWN, RouterApi.NONE);
        rig.report("r1", Role.REPLICA, rig.now);
        assertTrue(rig.actions.contains("log r1 answers again, taken as cold"));
    }

    @Test
    void safeReadOnASilentMemberIsWithdrawnBeforeItIsRepeated() {
        Rig rig = Rig.known(new Rig.Build().settings());
        long read = rig.request(Rig.ANY);
        String first = rig.sentTo(read);
        rig.advance(700 * MS);
        assertTrue(rig.cancelled(read));
        assertEquals(1, rig.attempts(read), "never two at once");
        rig.outcome(read, Result.CANCELLED, Role.UNKNOWN, RouterApi.NONE);
        assertNotNull(first);
    }

    @Test
    void unusableSettingsNameTheField() {
        RouterApi.Rules rules = new RouterApi.Rules(-1, 0, false, 0.15, 0, 3, 0);
        RouterApi.Limits limits = new RouterApi.Limits(true, true, true, 0, 1, 0);
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new RouterApi.Settings(
                        1,
                        0,
                        false,
                        false,
                        false,
                        RouterApi.WhenBehind.SERVE,
                        RouterApi.ListRole.OFF,
                        rules,
                        limits,
                        new RouterApi.Prices(0, 0, 0),
                        List.of()));
        assertTrue(e.getMessage().contains("rules.answerSlack"), e.getMessage());
    }

    @Test
    void noSessionReadGoesToAFormerPrimaryWithoutAPosition() {
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.write(5, rig.now + 5 * MS);
        rig.report("r1", Role.PRIMARY, rig.now + 100 * MS);
        long read = rig.request(Rig.OWN, 5, RouterApi.NONE);
        assertNull(rig.sentTo(read), "p's position is behind the token and r1 is the primary");
    }

    @Test
    void amongManyGatewaysLateAnswersSpaceTheSends() {
        // Incident i9c74e4: a dozen gateways with one request each at every member already made a queue.
        Rig.Build build = new Rig.Build();
        build.instances = 12;
        build.probes = false;
        Rig rig = new Rig(build.settings());
        rig.members("r1");
        for (int i = 0; i < 30; i++) {
            long id = rig.request(Rig.ANY);
            if (rig.sentTo(id) != null) {
                rig.tell(new RouterApi.Outcome(
                        id, 0, true, Result.OK, 450 * MS, "r1", Role.UNKNOWN, RouterApi.NONE, null));
            }
            rig.advance(1_000 * MS);
        }
        long first = rig.request(Rig.ANY);
        assertEquals("r1", rig.sentTo(first));
        rig.ok(first);
        long second = rig.request(Rig.ANY);
        assertNull(rig.sentTo(second), "nothing is out, but the next send is spaced");
    }

    @Test
    void oneLongRequestIsNoSilenceWhileProbesAreAnswered() {
        // Incident i6aa7ab: with little work at each member, one long request ejected a sound member.
        Rig rig = Rig.known(new Rig.Build().settings());
        long read = rig.request(Rig.ANY);
        for (int i = 0; i < 24; i++) {
            rig.advance(25 * MS);
            for (String server : new String[] {"p", "r1", "r2"}) {
                if (rig.actions.removeIf(a -> a.equals("probe " + server))) {
                    rig.tell(new RouterApi.ProbeResult(server, Result.OK, MS, null));
                }
            }
        }
        assertFalse(rig.cancelled(read));
        assertFalse(rig.actions.contains("log " + rig.sentTo(read) + " ejected: answers nothing"));
    }

    @Test
    void answersToEarlierWorkDoNotReadmitAFailingMember() {
        // Hunt day h25ee0b: old answers readmitted a failing member many times a second.
        Rig rig = Rig.known(new Rig.Build().settings());
        rig.change("r2", Standing.GONE, 0);
        long earlier = rig.request(Rig.ANY);
        for (int i = 0; i < 5; i++) {
            rig.now += MS;
            long id = rig.request(Rig.ANY);
            if ("r1".equals(rig.sentTo(id))) {
                rig.outcome(id, Result.ERROR, Role.REPLICA, RouterApi.NONE);
            }
        }
        assertTrue(rig.actions.contains("log r1 ejected: fails"));
        rig.ok(earlier);
        assertFalse(rig.actions.contains("log r1 readmitted"));
        rig.advance(600 * MS);
        long trial = rig.request(Rig.ANY);
        assertTrue(rig.actions.stream().anyMatch(a -> a.endsWith(" r1") && a.startsWith("send")));
        assertFalse(rig.failed(trial));
    }
}
