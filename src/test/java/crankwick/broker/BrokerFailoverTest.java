package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import crankwick.failover.FailoverSettings;
import crankwick.routing.TestSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Single requests through a change of primaries, in simulated time; one group of a, b and c, led by a. */
public class BrokerFailoverTest {
    private static final long MS = 1_000;
    private static final long KEY_TTL = 2_000 * MS;

    private record Due(long at, long number, BrokerEvent event) {}

    private final PriorityQueue<Due> timers =
            new PriorityQueue<>((x, y) -> x.at != y.at ? Long.compare(x.at, y.at) : Long.compare(x.number, y.number));
    private final List<Effect.SendAttempt> sends = new ArrayList<>();
    private final Map<Long, Reply> answers = new HashMap<>();
    private final Map<Long, Long> answeredAt = new HashMap<>();
    private final Map<String, Role> probed = new HashMap<>();
    private Broker broker;
    private long now;
    private long refs;

    @BeforeMethod
    public void aGroupLedByA() {
        timers.clear();
        sends.clear();
        answers.clear();
        probed.clear();
        now = 1_000_000_000;
        refs = 0;
        RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 3_000 * MS, 250 * MS, true);
        broker = new Broker(settings, 3, Map.of("", Contract.UNLIMITED), FailoverSettings.DEFAULT);
        tell(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.FULL,
                List.of(
                        member("a", Role.PRIMARY, EndpointStatus.LIVE),
                        member("b", Role.REPLICA, EndpointStatus.LIVE),
                        member("c", Role.REPLICA, EndpointStatus.LIVE))));
        report("a", Role.PRIMARY);
    }

    private static Endpoint member(String server, Role role, EndpointStatus standing) {
        return new Endpoint(server, 0, 1, role, standing, 0);
    }

    private void tell(BrokerEvent event) {
        for (Effect effect : broker.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt e) {
                sends.add(e);
            } else if (effect instanceof Effect.SendReply e) {
                assertNull(answers.put(e.requestId(), e.reply()), "a second answer");
                answeredAt.put(e.requestId(), now);
            } else if (effect instanceof Effect.ScheduleTimer e) {
                timers.add(new Due(now + e.delay(), timers.size() + now, e.event()));
            } else if (effect instanceof Effect.CheckHealth e && probed.containsKey(e.endpointId())) {
                timers.add(new Due(
                        now + MS,
                        timers.size() + now,
                        new BrokerEvent.HealthCheckEnded(
                                e.endpointId(), AttemptResult.OK, MS, reportOf(probed.get(e.endpointId())))));
            }
        }
    }

    private LoadReport reportOf(Role role) {
        return new LoadReport(now, role, 0, 0, Double.NaN);
    }

    private void report(String server, Role role) {
        tell(new BrokerEvent.HealthCheckEnded(server, AttemptResult.OK, MS, reportOf(role)));
    }

    private void advance(long span) {
        long until = now + span;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Due due = timers.poll();
            now = Math.max(now, due.at);
            tell(due.event);
        }
        now = until;
    }

    private long write(String key, long patience) {
        long ref = ++refs;
        tell(new BrokerEvent.RequestReceived(
                new ClientRequest(ref, Long.toString(ref), "", 0, 1, 9, AbsentValue.NONE, patience, key, 100)));
        return ref;
    }

    private void ends(long ref, AttemptResult result, Role role) {
        Effect.SendAttempt last = sends.stream()
                .filter(s -> s.requestId() == ref)
                .reduce((x, y) -> y)
                .orElseThrow();
        tell(new BrokerEvent.AttemptEnded(
                ref,
                last.attempt(),
                result,
                MS,
                role,
                role == Role.UNKNOWN ? AbsentValue.NONE : now,
                null,
                new byte[1]));
    }

    private long sent(long ref) {
        return sends.stream().filter(s -> s.requestId() == ref).count();
    }

    private Object answer(long ref) {
        return answers.get(ref) instanceof Reply.Rejected r
                ? r.reason()
                : answers.get(ref) instanceof Reply.Failed f ? f.reason() : answers.get(ref);
    }

    /** a refuses connections from now on. */
    private void loseA() {
        long first = write("first", 3_000 * MS);
        ends(first, AttemptResult.UNREACHABLE, Role.UNKNOWN);
        advance(MS);
    }

    @Test
    public void whoeverCannotBeServedInTimeIsToldSoAtOnceWithATimeToComeAgain() {
        loseA();
        long hopeless = write("k", 1_000 * MS);
        assertEquals(answer(hopeless), Reply.Reason.NO_PRIMARY);
        assertTrue(((Reply.Rejected) answers.get(hopeless)).retryAfter() > 0);
        assertEquals(sent(hopeless), 0);
        assertEquals(broker.failover().bufferedRequests(), 0);
    }

    @Test
    public void whoHasTimeIsHeldAndServedOnceSomebodyLeads() {
        loseA();
        advance(2_500 * MS);
        List<Long> held = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            held.add(write("k" + i, 3_000 * MS));
        }
        assertTrue(
                broker.failover().bufferedRequests() >= 18,
                "" + broker.failover().bufferedRequests());
        assertTrue(held.stream().allMatch(ref -> sent(ref) == 0));
        advance(1_500 * MS);
        report("b", Role.PRIMARY);
        assertEquals(broker.failover().leadership(1).leader(), "b");
        int most = 0;
        for (int i = 0; i < 200 && answers.size() < 21; i++) {
            List<Effect.SendAttempt> out = sends.stream()
                    .filter(s -> !answers.containsKey(s.requestId()))
                    .toList();
            most = Math.max(most, out.size());
            out.stream()
                    .filter(s -> held.contains(s.requestId()))
                    .findFirst()
                    .ifPresent(s -> ends(s.requestId(), AttemptResult.OK, Role.PRIMARY));
            advance(5 * MS);
        }
        assertTrue(
                held.stream().allMatch(ref -> sent(ref) == 1 && answers.get(ref) instanceof Reply.Served),
                answers.toString());
        assertTrue(sends.stream().filter(s -> held.contains(s.requestId())).allMatch(s -> s.endpointId()
                .equals("b")));
    }

    @Test
    public void aKeyWhoseWindowEndsWhileItWaitsIsFailedAtOnceAndNotSentAgain() {
        long doubtful = write("k", 3_000 * MS);
        advance(50 * MS);
        ends(doubtful, AttemptResult.RESET, Role.UNKNOWN);
        assertEquals(sent(doubtful), 2, "a break alone is no change");
        ends(doubtful, AttemptResult.UNREACHABLE, Role.UNKNOWN);
        advance(500 * MS);
        int before = sends.size();
        advance(3_000 * MS);
        assertEquals(answer(doubtful), Reply.Reason.KEY_IN_DOUBT);
        assertTrue(answeredAt.get(doubtful) < 1_000_000_000 + KEY_TTL, "not at its deadline");
        report("b", Role.PRIMARY);
        advance(100 * MS);
        assertTrue(sends.subList(before, sends.size()).stream().noneMatch(s -> s.requestId() == doubtful));
    }

    @Test
    public void aClientsOwnRetryOfAKeyInDoubtIsKnown() {
        long first = write("k", 3_000 * MS);
        advance(MS);
        tell(new BrokerEvent.AttemptWritten(first, 0));
        advance(2_500 * MS);
        tell(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        long retry = write("k", 3_000 * MS);
        assertEquals(answer(retry), Reply.Reason.KEY_IN_DOUBT, "the window began with the first sending");
        assertEquals(sent(retry), 0);
        advance(6_000 * MS);
        report("a", Role.PRIMARY);
        long later = write("k", 3_000 * MS);
        advance(200 * MS);
        assertEquals(sent(later), 1, "the memory of it has an end");
    }

    /** The key may have run by the earlier request, so "refused" would say what is not known. */
    @Test
    public void aRetryOfAKeyInDoubtIsNeverRefusedAsHarmless() {
        long first = write("k", 3_000 * MS);
        tell(new BrokerEvent.AttemptWritten(first, 0));
        advance(100 * MS);
        tell(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        loseA();
        long hopeless = write("k", 1_000 * MS);
        assertEquals(answer(hopeless), Reply.Reason.KEY_IN_DOUBT);
        long other = write("other", 1_000 * MS);
        assertEquals(answer(other), Reply.Reason.NO_PRIMARY);
    }

    /** The router knows one request only; what it refuses may have run by another. */
    @Test
    public void theRoutersRefusalOfAKeyInDoubtIsAFailure() {
        long first = write("k", 3_000 * MS);
        tell(new BrokerEvent.AttemptWritten(first, 0));
        advance(50 * MS);
        tell(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        long retry = write("k", 200 * MS);
        ends(retry, AttemptResult.REJECTED_OVERLOADED, Role.UNKNOWN);
        for (int i = 0; i < 8 && !answers.containsKey(retry); i++) {
            ends(retry, AttemptResult.REJECTED_OVERLOADED, Role.UNKNOWN);
        }
        advance(300 * MS);
        assertTrue(answers.get(retry) instanceof Reply.Failed, answers.toString());
    }

    /** A hung primary's attempt is not waited for once another leads; its late answer changes nothing. */
    @Test
    public void theAnswerThatComesAfterTheWithdrawalIsNoAnswer() {
        long write = write("k", 3_000 * MS);
        assertEquals(sent(write), 1);
        tell(new BrokerEvent.AttemptWritten(write, 0));
        advance(300 * MS);
        tell(new BrokerEvent.HealthCheckEnded("a", AttemptResult.TIMEOUT, 250 * MS, null));
        advance(260 * MS);
        tell(new BrokerEvent.HealthCheckEnded("a", AttemptResult.TIMEOUT, 250 * MS, null));
        probed.put("b", Role.PRIMARY);
        report("b", Role.PRIMARY);
        advance(100 * MS);
        assertEquals(sent(write), 2, "sent again within its window");
        assertEquals(sends.get(sends.size() - 1).endpointId(), "b");
        tell(new BrokerEvent.AttemptEnded(write, 0, AttemptResult.OK, MS, Role.PRIMARY, now, null, new byte[1]));
        assertNull(answers.get(write));
        ends(write, AttemptResult.OK, Role.PRIMARY);
        assertTrue(answers.get(write) instanceof Reply.Served);
    }

    @Test
    public void aLateListEntryNamesNobody() {
        tell(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.INCREMENTAL, List.of(member("a", Role.PRIMARY, EndpointStatus.DRAINING))));
        advance(10 * MS);
        report("b", Role.PRIMARY);
        tell(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.INCREMENTAL, List.of(member("a", Role.PRIMARY, EndpointStatus.LIVE))));
        long write = write("k", 3_000 * MS);
        advance(50 * MS);
        assertEquals(sends.get(sends.size() - 1).endpointId(), "b");
        assertEquals(sent(write), 1);
    }

    @Test
    public void whoLeavesGivesItsPlaceBack() {
        loseA();
        advance(2_500 * MS);
        write("scout", 3_000 * MS);
        int before = broker.failover().bufferedRequests();
        long held = write("k", 3_000 * MS);
        assertEquals(broker.failover().bufferedRequests(), before + 1);
        tell(new BrokerEvent.RequestAbandoned(held, AbandonReason.CLOSED));
        assertEquals(broker.failover().bufferedRequests(), before);
        assertNull(answers.get(held));
    }
}
