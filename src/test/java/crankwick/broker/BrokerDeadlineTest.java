package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import crankwick.routing.TestSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A write at its deadline and near the end of its key window, in simulated time. */
public class BrokerDeadlineTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long START = 1_000_000_000;
    private static final long KEY_TTL = 400 * MICROS_PER_MILLI;
    private static final long TIMEOUT = 1_000 * MICROS_PER_MILLI;
    private static final long REQUEST_ID = 1;

    private final List<Effect> effects = new ArrayList<>();
    private Broker broker;

    @BeforeMethod
    public void sendWrite() {
        effects.clear();
        RoutingSettings settings =
                TestSettings.keyedWrite(KEY_TTL, 3_000 * MICROS_PER_MILLI, 250 * MICROS_PER_MILLI, false);
        broker = new Broker(settings, 1, Map.of("", Contract.UNLIMITED), null);
        reduce(
                START,
                new BrokerEvent.EndpointsUpdated(
                        EndpointUpdateKind.FULL,
                        List.of(new Endpoint("a", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0))));
        reduce(
                START,
                new BrokerEvent.RequestReceived(
                        new ClientRequest(REQUEST_ID, "1", "", 0, 0, 9, AbsentValue.NONE, TIMEOUT, "k", 0)));
        assertEquals(sentAttempts().size(), 1);
    }

    private void reduce(long now, BrokerEvent event) {
        effects.addAll(broker.reduce(event, now));
    }

    private void endAttempt(long now, AttemptResult result) {
        reduce(
                now,
                new BrokerEvent.AttemptEnded(
                        REQUEST_ID,
                        sentAttempts().size() - 1,
                        result,
                        MICROS_PER_MILLI,
                        Role.UNKNOWN,
                        AbsentValue.NONE,
                        null,
                        null));
    }

    private List<Effect.SendAttempt> sentAttempts() {
        return effectsOf(Effect.SendAttempt.class);
    }

    private List<Reply> replies() {
        return effectsOf(Effect.SendReply.class).stream()
                .map(Effect.SendReply::reply)
                .toList();
    }

    private <T> List<T> effectsOf(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** The attempt may have begun without the broker's knowledge, so a rejection could cause a duplicate write. */
    @Test
    public void writeThatMayHaveBegunFailsAtItsDeadline() {
        reduce(START + TIMEOUT, new BrokerEvent.DeadlineReached(REQUEST_ID));
        assertEquals(effectsOf(Effect.CancelQueuedAttempt.class).size(), 1);
        assertEquals(replies(), List.of());
        reduce(START + TIMEOUT, new BrokerEvent.DeadlineReached(REQUEST_ID));
        assertEquals(effectsOf(Effect.CancelAttempt.class).size(), 1);
        assertEquals(replies().size(), 1);
        assertTrue(replies().get(0) instanceof Reply.Failed, replies().toString());
    }

    @Test
    public void writeThatHasNotBegunIsRejectedAtItsDeadline() {
        reduce(START + TIMEOUT, new BrokerEvent.DeadlineReached(REQUEST_ID));
        endAttempt(START + TIMEOUT, AttemptResult.NOT_SENT);
        reduce(START + TIMEOUT, new BrokerEvent.DeadlineReached(REQUEST_ID));
        assertEquals(replies().size(), 1);
        assertTrue(replies().get(0) instanceof Reply.Rejected, replies().toString());
    }

    @Test
    public void firstAttemptMayBeginUntilTheDeadline() {
        assertEquals(sentAttempts().get(0).startDeadline(), START + TIMEOUT);
    }

    @Test
    public void retryMayBeginOnlyWithinTheKeyWindow() {
        endAttempt(START + 100 * MICROS_PER_MILLI, AttemptResult.RESET);
        assertEquals(sentAttempts().size(), 2);
        assertEquals(sentAttempts().get(1).startDeadline(), START + KEY_TTL);
    }

    /** Guards against a retry that is delivered, and so executed again, after its key window. */
    @Test
    public void unansweredRetryIsCancelledAtTheEndOfItsKeyWindow() {
        endAttempt(START + 100 * MICROS_PER_MILLI, AttemptResult.RESET);
        reduce(START + 110 * MICROS_PER_MILLI, new BrokerEvent.AttemptWritten(REQUEST_ID, 1));
        Effect.ScheduleTimer windowTimer = effectsOf(Effect.ScheduleTimer.class).stream()
                .filter(timer -> timer.event() instanceof BrokerEvent.KeyWindowEnded)
                .findAny()
                .orElseThrow();
        assertEquals(windowTimer.delay(), KEY_TTL - 100 * MICROS_PER_MILLI);
        reduce(START + KEY_TTL, windowTimer.event());
        assertEquals(effectsOf(Effect.CancelAttempt.class), List.of(new Effect.CancelAttempt(REQUEST_ID, 1)));
        assertEquals(sentAttempts().size(), 2);
        assertEquals(replies(), List.of(new Reply.Failed(Reply.Reason.KEY_IN_DOUBT)));
    }

    @Test
    public void retryOfAWriteThatNeverExecutedMayBeginUntilTheDeadline() {
        endAttempt(START + 100 * MICROS_PER_MILLI, AttemptResult.REJECTED_OVERLOADED);
        assertEquals(sentAttempts().size(), 2);
        assertEquals(sentAttempts().get(1).startDeadline(), START + TIMEOUT);
    }
}
