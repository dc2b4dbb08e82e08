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

/** Single requests during a failover, in simulated time; one group with the primary a and the replicas b and c. */
public class BrokerFailoverTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long KEY_TTL = 2_000 * MICROS_PER_MILLI;

    private record ScheduledEvent(long at, long sequence, BrokerEvent event) {}

    private final PriorityQueue<ScheduledEvent> timers = new PriorityQueue<>(
            (x, y) -> x.at != y.at ? Long.compare(x.at, y.at) : Long.compare(x.sequence, y.sequence));
    private final List<Effect.SendAttempt> sentAttempts = new ArrayList<>();
    private final Map<Long, Reply> replies = new HashMap<>();
    private final Map<Long, Long> repliedAt = new HashMap<>();
    private final Map<String, Role> reportedRoles = new HashMap<>();
    private Broker broker;
    private long now;
    private long lastRequestId;

    @BeforeMethod
    public void createGroupWithPrimaryA() {
        timers.clear();
        sentAttempts.clear();
        replies.clear();
        reportedRoles.clear();
        now = 1_000_000_000;
        lastRequestId = 0;
        RoutingSettings settings =
                TestSettings.keyedWrite(KEY_TTL, 3_000 * MICROS_PER_MILLI, 250 * MICROS_PER_MILLI, true);
        broker = new Broker(settings, 3, Map.of("", Contract.UNLIMITED), FailoverSettings.DEFAULT);
        reduce(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.FULL,
                List.of(
                        endpoint("a", Role.PRIMARY, EndpointStatus.LIVE),
                        endpoint("b", Role.REPLICA, EndpointStatus.LIVE),
                        endpoint("c", Role.REPLICA, EndpointStatus.LIVE))));
        report("a", Role.PRIMARY);
    }

    private static Endpoint endpoint(String endpointId, Role role, EndpointStatus status) {
        return new Endpoint(endpointId, 0, 1, role, status, 0);
    }

    private void reduce(BrokerEvent event) {
        for (Effect effect : broker.reduce(event, now)) {
            if (effect instanceof Effect.SendAttempt e) {
                sentAttempts.add(e);
            } else if (effect instanceof Effect.SendReply e) {
                assertNull(replies.put(e.requestId(), e.reply()), "second reply to a request");
                repliedAt.put(e.requestId(), now);
            } else if (effect instanceof Effect.ScheduleTimer e) {
                timers.add(new ScheduledEvent(now + e.delay(), timers.size() + now, e.event()));
            } else if (effect instanceof Effect.CheckHealth e && reportedRoles.containsKey(e.endpointId())) {
                timers.add(new ScheduledEvent(
                        now + MICROS_PER_MILLI,
                        timers.size() + now,
                        new BrokerEvent.HealthCheckEnded(
                                e.endpointId(),
                                AttemptResult.OK,
                                MICROS_PER_MILLI,
                                reportOf(reportedRoles.get(e.endpointId())))));
            }
        }
    }

    private LoadReport reportOf(Role role) {
        return new LoadReport(now, role, 0, 0, Double.NaN);
    }

    private void report(String endpointId, Role role) {
        reduce(new BrokerEvent.HealthCheckEnded(endpointId, AttemptResult.OK, MICROS_PER_MILLI, reportOf(role)));
    }

    private void advance(long duration) {
        long until = now + duration;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            ScheduledEvent next = timers.poll();
            now = Math.max(now, next.at);
            reduce(next.event);
        }
        now = until;
    }

    private long write(String key, long timeout) {
        long requestId = ++lastRequestId;
        reduce(new BrokerEvent.RequestReceived(new ClientRequest(
                requestId, Long.toString(requestId), "", 0, 1, 9, AbsentValue.NONE, timeout, key, 100)));
        return requestId;
    }

    private void endAttempt(long requestId, AttemptResult result, Role role) {
        Effect.SendAttempt last = sentAttempts.stream()
                .filter(s -> s.requestId() == requestId)
                .reduce((x, y) -> y)
                .orElseThrow();
        reduce(new BrokerEvent.AttemptEnded(
                requestId,
                last.attempt(),
                result,
                MICROS_PER_MILLI,
                role,
                role == Role.UNKNOWN ? AbsentValue.NONE : now,
                null,
                new byte[1]));
    }

    private long attemptsOf(long requestId) {
        return sentAttempts.stream().filter(s -> s.requestId() == requestId).count();
    }

    private Object reasonOf(long requestId) {
        return replies.get(requestId) instanceof Reply.Rejected r
                ? r.reason()
                : replies.get(requestId) instanceof Reply.Failed f ? f.reason() : replies.get(requestId);
    }

    /** Starts a failover: an attempt finds that database a refuses connections. */
    private void startFailoverOfA() {
        long first = write("first", 3_000 * MICROS_PER_MILLI);
        endAttempt(first, AttemptResult.UNREACHABLE, Role.UNKNOWN);
        advance(MICROS_PER_MILLI);
    }

    @Test
    public void requestThatCannotBeServedBeforeItsDeadlineIsRejectedAtOnceWithRetryAfter() {
        startFailoverOfA();
        long rejected = write("k", 1_000 * MICROS_PER_MILLI);
        assertEquals(reasonOf(rejected), Reply.Reason.NO_PRIMARY);
        assertTrue(((Reply.Rejected) replies.get(rejected)).retryAfter() > 0);
        assertEquals(attemptsOf(rejected), 0);
        assertEquals(broker.failoverCoordinator().bufferedRequests(), 0);
    }

    @Test
    public void requestWithSufficientTimeIsBufferedAndServedByTheNewLeader() {
        startFailoverOfA();
        advance(2_500 * MICROS_PER_MILLI);
        List<Long> buffered = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            buffered.add(write("k" + i, 3_000 * MICROS_PER_MILLI));
        }
        assertTrue(
                broker.failoverCoordinator().bufferedRequests() >= 18,
                "" + broker.failoverCoordinator().bufferedRequests());
        assertTrue(buffered.stream().allMatch(requestId -> attemptsOf(requestId) == 0));
        advance(1_500 * MICROS_PER_MILLI);
        report("b", Role.PRIMARY);
        assertEquals(broker.failoverCoordinator().leadership(1).leader(), "b");
        int maxInFlight = 0;
        for (int i = 0; i < 200 && replies.size() < 21; i++) {
            List<Effect.SendAttempt> inFlight = sentAttempts.stream()
                    .filter(s -> !replies.containsKey(s.requestId()))
                    .toList();
            maxInFlight = Math.max(maxInFlight, inFlight.size());
            inFlight.stream()
                    .filter(s -> buffered.contains(s.requestId()))
                    .findFirst()
                    .ifPresent(s -> endAttempt(s.requestId(), AttemptResult.OK, Role.PRIMARY));
            advance(5 * MICROS_PER_MILLI);
        }
        assertTrue(
                buffered.stream()
                        .allMatch(requestId ->
                                attemptsOf(requestId) == 1 && replies.get(requestId) instanceof Reply.Served),
                replies.toString());
        assertTrue(sentAttempts.stream()
                .filter(s -> buffered.contains(s.requestId()))
                .allMatch(s -> s.endpointId().equals("b")));
    }

    @Test
    public void requestWhoseKeyWindowWouldEndWhileBufferedFailsAtOnceAndIsNotSentAgain() {
        long first = write("k", 3_000 * MICROS_PER_MILLI);
        advance(50 * MICROS_PER_MILLI);
        endAttempt(first, AttemptResult.RESET, Role.UNKNOWN);
        assertEquals(attemptsOf(first), 2, "a lost connection alone does not start a failover");
        endAttempt(first, AttemptResult.UNREACHABLE, Role.UNKNOWN);
        advance(500 * MICROS_PER_MILLI);
        int before = sentAttempts.size();
        advance(3_000 * MICROS_PER_MILLI);
        assertEquals(reasonOf(first), Reply.Reason.KEY_IN_DOUBT);
        assertTrue(repliedAt.get(first) < 1_000_000_000 + KEY_TTL, "failed before the end of its key window");
        report("b", Role.PRIMARY);
        advance(100 * MICROS_PER_MILLI);
        assertTrue(sentAttempts.subList(before, sentAttempts.size()).stream().noneMatch(s -> s.requestId() == first));
    }

    @Test
    public void clientRetryOfAKeyWithUnknownOutcomeFails() {
        long first = write("k", 3_000 * MICROS_PER_MILLI);
        advance(MICROS_PER_MILLI);
        reduce(new BrokerEvent.AttemptWritten(first, 0));
        advance(2_500 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        long retry = write("k", 3_000 * MICROS_PER_MILLI);
        assertEquals(reasonOf(retry), Reply.Reason.KEY_IN_DOUBT, "the key window starts with the first attempt");
        assertEquals(attemptsOf(retry), 0);
        advance(6_000 * MICROS_PER_MILLI);
        report("a", Role.PRIMARY);
        long later = write("k", 3_000 * MICROS_PER_MILLI);
        advance(200 * MICROS_PER_MILLI);
        assertEquals(attemptsOf(later), 1, "the key is no longer remembered");
    }

    /** Guards against a client's retry that begins, or is delivered, after the key window of its first request. */
    @Test
    public void clientRetryIsBoundByTheKeyWindowOfTheFirstRequest() {
        long windowEnd = now + KEY_TTL;
        long first = write("k", 3_000 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.AttemptWritten(first, 0));
        advance(50 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        long retry = write("k", 3_000 * MICROS_PER_MILLI);
        assertEquals(sentAttempts.get(sentAttempts.size() - 1).requestId(), retry);
        assertEquals(sentAttempts.get(sentAttempts.size() - 1).startDeadline(), windowEnd);
        reduce(new BrokerEvent.AttemptWritten(retry, 0));
        advance(windowEnd - now);
        assertEquals(reasonOf(retry), Reply.Reason.KEY_IN_DOUBT);
        assertEquals(attemptsOf(retry), 1);
    }

    /** The earlier request may have executed, and a rejection would wrongly report that the key has not. */
    @Test
    public void retryOfAKeyWithUnknownOutcomeFailsInsteadOfBeingRejected() {
        long first = write("k", 3_000 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.AttemptWritten(first, 0));
        advance(100 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        startFailoverOfA();
        long rejected = write("k", 1_000 * MICROS_PER_MILLI);
        assertEquals(reasonOf(rejected), Reply.Reason.KEY_IN_DOUBT);
        long other = write("other", 1_000 * MICROS_PER_MILLI);
        assertEquals(reasonOf(other), Reply.Reason.NO_PRIMARY);
    }

    /** The router does not know that an earlier request with the same key may have executed. */
    @Test
    public void routerRejectionOfAKeyWithUnknownOutcomeBecomesAFailure() {
        long first = write("k", 3_000 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.AttemptWritten(first, 0));
        advance(50 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.RequestAbandoned(first, AbandonReason.CLOSED));
        long retry = write("k", 200 * MICROS_PER_MILLI);
        endAttempt(retry, AttemptResult.REJECTED_OVERLOADED, Role.UNKNOWN);
        for (int i = 0; i < 8 && !replies.containsKey(retry); i++) {
            endAttempt(retry, AttemptResult.REJECTED_OVERLOADED, Role.UNKNOWN);
        }
        advance(300 * MICROS_PER_MILLI);
        assertTrue(replies.get(retry) instanceof Reply.Failed, replies.toString());
    }

    /** An attempt at a hung primary is cancelled once there is a new primary; its late result must be ignored. */
    @Test
    public void resultOfACancelledAttemptIsIgnored() {
        long write = write("k", 3_000 * MICROS_PER_MILLI);
        assertEquals(attemptsOf(write), 1);
        reduce(new BrokerEvent.AttemptWritten(write, 0));
        advance(300 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.HealthCheckEnded("a", AttemptResult.TIMEOUT, 250 * MICROS_PER_MILLI, null));
        advance(260 * MICROS_PER_MILLI);
        reduce(new BrokerEvent.HealthCheckEnded("a", AttemptResult.TIMEOUT, 250 * MICROS_PER_MILLI, null));
        reportedRoles.put("b", Role.PRIMARY);
        report("b", Role.PRIMARY);
        advance(100 * MICROS_PER_MILLI);
        assertEquals(attemptsOf(write), 2, "retried within its key window");
        assertEquals(sentAttempts.get(sentAttempts.size() - 1).endpointId(), "b");
        reduce(new BrokerEvent.AttemptEnded(
                write, 0, AttemptResult.OK, MICROS_PER_MILLI, Role.PRIMARY, now, null, new byte[1]));
        assertNull(replies.get(write));
        endAttempt(write, AttemptResult.OK, Role.PRIMARY);
        assertTrue(replies.get(write) instanceof Reply.Served);
    }

    @Test
    public void outdatedListEntryDoesNotChangeTheLeader() {
        reduce(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.INCREMENTAL, List.of(endpoint("a", Role.PRIMARY, EndpointStatus.DRAINING))));
        advance(10 * MICROS_PER_MILLI);
        report("b", Role.PRIMARY);
        reduce(new BrokerEvent.EndpointsUpdated(
                EndpointUpdateKind.INCREMENTAL, List.of(endpoint("a", Role.PRIMARY, EndpointStatus.LIVE))));
        long write = write("k", 3_000 * MICROS_PER_MILLI);
        advance(50 * MICROS_PER_MILLI);
        assertEquals(sentAttempts.get(sentAttempts.size() - 1).endpointId(), "b");
        assertEquals(attemptsOf(write), 1);
    }

    @Test
    public void abandonedRequestIsRemovedFromTheBuffer() {
        startFailoverOfA();
        advance(2_500 * MICROS_PER_MILLI);
        write("scout", 3_000 * MICROS_PER_MILLI);
        int before = broker.failoverCoordinator().bufferedRequests();
        long buffered = write("k", 3_000 * MICROS_PER_MILLI);
        assertEquals(broker.failoverCoordinator().bufferedRequests(), before + 1);
        reduce(new BrokerEvent.RequestAbandoned(buffered, AbandonReason.CLOSED));
        assertEquals(broker.failoverCoordinator().bufferedRequests(), before);
        assertNull(replies.get(buffered));
    }
}
