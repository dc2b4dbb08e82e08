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

/** A write at its deadline, and near the end of its key's window, in simulated time. */
public class BrokerDeadlineTest {
    private static final long MS = 1_000;
    private static final long START = 1_000_000_000;
    private static final long KEY_TTL = 400 * MS;
    private static final long PATIENCE = 1_000 * MS;
    private static final long REF = 1;

    private final List<Effect> effects = new ArrayList<>();
    private Broker broker;

    @BeforeMethod
    public void aWriteIsSent() {
        effects.clear();
        RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 3_000 * MS, 250 * MS, false);
        broker = new Broker(settings, 1, Map.of("", Contract.UNLIMITED), null);
        tell(
                START,
                new BrokerEvent.EndpointsUpdated(
                        EndpointUpdateKind.FULL,
                        List.of(new Endpoint("a", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0))));
        tell(
                START,
                new BrokerEvent.RequestReceived(
                        new ClientRequest(REF, "1", "", 0, 0, 9, AbsentValue.NONE, PATIENCE, "k", 0)));
        assertEquals(sends().size(), 1);
    }

    private void tell(long now, BrokerEvent event) {
        effects.addAll(broker.reduce(event, now));
    }

    private void ended(long now, AttemptResult result) {
        tell(
                now,
                new BrokerEvent.AttemptEnded(
                        REF, sends().size() - 1, result, MS, Role.UNKNOWN, AbsentValue.NONE, null, null));
    }

    private List<Effect.SendAttempt> sends() {
        return all(Effect.SendAttempt.class);
    }

    private List<Reply> answers() {
        return all(Effect.SendReply.class).stream().map(Effect.SendReply::reply).toList();
    }

    private <T> List<T> all(Class<T> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The command may be on its way though the broker has not heard so: it is no harmless refusal. */
    @Test
    public void writeThatMayHaveBegunIsNotRefusedAtItsDeadline() {
        tell(START + PATIENCE, new BrokerEvent.DeadlineReached(REF));
        assertEquals(all(Effect.CancelQueued.class).size(), 1);
        assertEquals(answers(), List.of());
        tell(START + PATIENCE, new BrokerEvent.DeadlineReached(REF));
        assertEquals(all(Effect.CancelAttempt.class).size(), 1);
        assertEquals(answers().size(), 1);
        assertTrue(answers().get(0) instanceof Reply.Failed, answers().toString());
    }

    @Test
    public void writeThatHasNotBegunIsRefusedAtItsDeadline() {
        tell(START + PATIENCE, new BrokerEvent.DeadlineReached(REF));
        ended(START + PATIENCE, AttemptResult.NOT_SENT);
        tell(START + PATIENCE, new BrokerEvent.DeadlineReached(REF));
        assertEquals(answers().size(), 1);
        assertTrue(answers().get(0) instanceof Reply.Rejected, answers().toString());
    }

    @Test
    public void firstAttemptMayBeginUntilItsDeadline() {
        assertEquals(sends().get(0).startBefore(), START + PATIENCE);
    }

    @Test
    public void repeatMayBeginOnlyWithinItsKeysWindow() {
        ended(START + 100 * MS, AttemptResult.RESET);
        assertEquals(sends().size(), 2);
        assertEquals(sends().get(1).startBefore(), START + KEY_TTL);
    }

    @Test
    public void repeatOfWhatNeverRanMayBeginUntilItsDeadline() {
        ended(START + 100 * MS, AttemptResult.REJECTED_OVERLOADED);
        assertEquals(sends().size(), 2);
        assertEquals(sends().get(1).startBefore(), START + PATIENCE);
    }
}
