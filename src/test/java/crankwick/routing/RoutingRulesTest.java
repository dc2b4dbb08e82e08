package crankwick.routing;

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

/** The rules that no run may break, one by one. */
class RoutingRulesTest {
    /** Guards against memory that grows with each server there ever was, and each group anyone asked for. */
    @Test
    void forgetsWhatIsGoneAndWhatNeverWas() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        for (int i = 0; i < 200; i++) {
            rig.change("s" + i, EndpointStatus.LIVE, 0);
            rig.change("s" + (i - 3), EndpointStatus.REMOVED, 0);
            assertTrue(rig.refused(rig.requestTo(1_000 + i, RouterTestHarness.VIEW)));
            rig.advance(1_000 * RouterTestHarness.MS);
        }
        assertTrue(rig.router.known() < 50, "kept: " + rig.router.known());
    }

    private static final long MS = RouterTestHarness.MS;

    @ParameterizedTest
    @EnumSource(value = AttemptResult.class, names = "OK", mode = EnumSource.Mode.EXCLUDE)
    void unsafeWriteIsRepeatedOrRefusedOnlyIfItNeverRan(AttemptResult result) {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long write = rig.request(RouterTestHarness.WRITE);
        rig.outcome(write, result, Role.UNKNOWN, AbsentValue.NONE);
        rig.advance(3_000 * MS);
        if (result.provesNotExecuted()) {
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
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long write = rig.request(RouterTestHarness.KEYED);
        rig.outcome(write, AttemptResult.RESET, Role.UNKNOWN, AbsentValue.NONE);
        assertEquals(2, rig.attempts(write), "its repeat is discarded within the group");
        rig.outcome(write, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        rig.advance(3_000 * MS);
        assertTrue(rig.failed(write));
        assertFalse(rig.refused(write));
    }

    @Test
    void everyRequestIsAnsweredWithNoMemberAtAll() {
        RouterTestHarness rig = new RouterTestHarness(new RouterTestHarness.Build().settings());
        for (int classIndex = RouterTestHarness.VIEW; classIndex <= RouterTestHarness.KEYED; classIndex++) {
            long id = rig.request(classIndex);
            rig.advance(2_000 * MS);
            assertTrue(rig.refused(id), "class " + classIndex);
        }
    }

    @Test
    void timeOutAtTheDeadlineIsAnsweredAtOnce() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long read = rig.request(RouterTestHarness.ANY);
        rig.now += 2_000 * MS;
        rig.outcome(read, AttemptResult.TIMEOUT, Role.UNKNOWN, AbsentValue.NONE);
        assertTrue(rig.refused(read));
    }

    @Test
    void nothingIsSentOnceTheClientHasLeft() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long read = rig.request(RouterTestHarness.ANY);
        rig.tell(new RequestAbandoned(read));
        rig.outcome(read, AttemptResult.ERROR, Role.UNKNOWN, AbsentValue.NONE);
        rig.advance(500 * MS);
        assertEquals(1, rig.attempts(read));
        assertFalse(rig.refused(read) || rig.failed(read));
    }

    @Test
    void lateNewsOfUnknownThingsIsIgnored() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        int before = rig.actions.size();
        rig.tell(new AttemptOutcome(77, 0, false, AttemptResult.OK, MS, "r1", Role.REPLICA, 5, null));
        rig.tell(new HealthCheckResult("nobody", AttemptResult.OK, MS, null));
        rig.tell(new TimerFired(12_345));
        rig.tell(new RequestAbandoned(77));
        rig.tell(new ResponseStarted(77));
        assertEquals(before, rig.actions.size());
    }

    @ParameterizedTest
    @EnumSource(value = EndpointStatus.class, names = "LIVE", mode = EnumSource.Mode.EXCLUDE)
    void nothingNewGoesToAMemberThatDrainsOrIsGone(EndpointStatus standing) {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.change("r1", standing, 0);
        for (int i = 0; i < 20; i++) {
            long id = rig.request(RouterTestHarness.ANY);
            assertEquals("r2", rig.sentTo(id));
            rig.ok(id);
        }
    }

    @Test
    void absentFromAFullListIsGone() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        List<Endpoint> rest = List.of(rig.list.get(0), rig.list.get(2));
        rig.tell(new EndpointUpdate(EndpointUpdateKind.FULL, rest));
        assertEquals("r2", rig.sentTo(rig.request(RouterTestHarness.ANY)));
    }

    @Test
    void whereOnlyDrainingBindsGoneIsNoProof() {
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.onlyDrainingBinds = true;
        RouterTestHarness rig = RouterTestHarness.known(build.settings());
        rig.change("r1", EndpointStatus.REMOVED, 0);
        rig.change("r2", EndpointStatus.DRAINING, 0);
        rig.change("r2", EndpointStatus.REMOVED, 0);
        assertEquals("r1", rig.sentTo(rig.request(RouterTestHarness.ANY)));
        rig.change("r2", EndpointStatus.LIVE, 0);
        rig.change("r1", EndpointStatus.DRAINING, 0);
        assertEquals("r2", rig.sentTo(rig.request(RouterTestHarness.ANY)));
    }

    @Test
    void burstAtAColdMemberIsHeldToItsBudget() {
        RouterTestHarness rig = new RouterTestHarness(new RouterTestHarness.Build().settings());
        rig.list.add(RouterTestHarness.member("r1", EndpointStatus.LIVE, rig.now - 100 * MS));
        rig.tell(new EndpointUpdate(EndpointUpdateKind.RESTORED, rig.list));
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            long id = rig.request(RouterTestHarness.ANY);
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
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.change("r2", EndpointStatus.REMOVED, 0);
        long read = rig.request(RouterTestHarness.ANY);
        rig.outcome(read, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        rig.report("r1", Role.REPLICA, rig.now);
        assertTrue(rig.actions.contains("log r1 responds again, slow start"));
    }

    @Test
    void safeReadOnASilentMemberIsWithdrawnBeforeItIsRepeated() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long read = rig.request(RouterTestHarness.ANY);
        String first = rig.sentTo(read);
        rig.advance(700 * MS);
        assertTrue(rig.cancelled(read));
        assertEquals(1, rig.attempts(read), "never two at once");
        rig.outcome(read, AttemptResult.CANCELLED, Role.UNKNOWN, AbsentValue.NONE);
        assertNotNull(first);
    }

    @Test
    void unusableSettingsNameTheField() {
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
    void noSessionReadGoesToAFormerPrimaryWithoutAPosition() {
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.write(5, rig.now + 5 * MS);
        rig.report("r1", Role.PRIMARY, rig.now + 100 * MS);
        long read = rig.request(RouterTestHarness.OWN, 5, AbsentValue.NONE);
        assertNull(rig.sentTo(read), "p's position is behind the token and r1 is the primary");
    }

    @Test
    void amongManyGatewaysLateAnswersSpaceTheSends() {
        // Incident i9c74e4: a dozen gateways with one request each at every member already made a queue.
        RouterTestHarness.Build build = new RouterTestHarness.Build();
        build.instances = 12;
        build.probes = false;
        RouterTestHarness rig = new RouterTestHarness(build.settings());
        rig.members("r1");
        for (int i = 0; i < 30; i++) {
            long id = rig.request(RouterTestHarness.ANY);
            if (rig.sentTo(id) != null) {
                rig.tell(new AttemptOutcome(
                        id, 0, true, AttemptResult.OK, 450 * MS, "r1", Role.UNKNOWN, AbsentValue.NONE, null));
            }
            rig.advance(1_000 * MS);
        }
        long first = rig.request(RouterTestHarness.ANY);
        assertEquals("r1", rig.sentTo(first));
        rig.ok(first);
        long second = rig.request(RouterTestHarness.ANY);
        assertNull(rig.sentTo(second), "nothing is out, but the next send is spaced");
    }

    @Test
    void oneLongRequestIsNoSilenceWhileProbesAreAnswered() {
        // Incident i6aa7ab: with little work at each member, one long request ejected a sound member.
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        long read = rig.request(RouterTestHarness.ANY);
        for (int i = 0; i < 24; i++) {
            rig.advance(25 * MS);
            for (String server : new String[] {"p", "r1", "r2"}) {
                if (rig.actions.removeIf(a -> a.equals("probe " + server))) {
                    rig.tell(new HealthCheckResult(server, AttemptResult.OK, MS, null));
                }
            }
        }
        assertFalse(rig.cancelled(read));
        assertFalse(rig.actions.contains("log " + rig.sentTo(read) + " ejected: answers nothing"));
    }

    @Test
    void answersToEarlierWorkDoNotReadmitAFailingMember() {
        // Hunt day h25ee0b: old answers readmitted a failing member many times a second.
        RouterTestHarness rig = RouterTestHarness.known(new RouterTestHarness.Build().settings());
        rig.change("r2", EndpointStatus.REMOVED, 0);
        long earlier = rig.request(RouterTestHarness.ANY);
        for (int i = 0; i < 5; i++) {
            rig.now += MS;
            long id = rig.request(RouterTestHarness.ANY);
            if ("r1".equals(rig.sentTo(id))) {
                rig.outcome(id, AttemptResult.ERROR, Role.REPLICA, AbsentValue.NONE);
            }
        }
        assertTrue(rig.actions.contains("log r1 ejected: failure rate"));
        rig.ok(earlier);
        assertFalse(rig.actions.contains("log r1 readmitted"));
        rig.advance(600 * MS);
        long trial = rig.request(RouterTestHarness.ANY);
        assertTrue(rig.actions.stream().anyMatch(a -> a.endsWith(" r1") && a.startsWith("send")));
        assertFalse(rig.failed(trial));
    }
}
