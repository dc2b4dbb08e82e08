package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import crankwick.RouterApi;
import crankwick.RouterApi.ListKind;
import crankwick.RouterApi.Member;
import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Settings;
import crankwick.RouterApi.Standing;
import crankwick.TestSettings;
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
        Settings settings = TestSettings.keyedWrite(KEY_TTL, 3_000 * MS, 250 * MS, false);
        broker = new Broker(settings, 1, Map.of("", Contract.UNLIMITED), null);
        tell(
                START,
                new BrokerEvent.Listed(ListKind.FULL, List.of(new Member("a", 0, 0, Role.PRIMARY, Standing.LIVE, 0))));
        tell(START, new BrokerEvent.Taken(new Call(REF, "1", "", 0, 0, 9, RouterApi.NONE, PATIENCE, "k", 0)));
        assertEquals(sends().size(), 1);
    }

    private void tell(long now, BrokerEvent event) {
        effects.addAll(broker.reduce(event, now));
    }

    private void ended(long now, Result result) {
        tell(now, new BrokerEvent.Ended(REF, sends().size() - 1, result, MS, Role.UNKNOWN, RouterApi.NONE, null, null));
    }

    private List<Effect.Send> sends() {
        return all(Effect.Send.class);
    }

    private List<Reply> answers() {
        return all(Effect.Answer.class).stream().map(Effect.Answer::reply).toList();
    }

    private <T> List<T> all(Class<T> kind) {
        return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The command may be on its way though the broker has not heard so: it is no harmless refusal. */
    @Test
    public void writeThatMayHaveBegunIsNotRefusedAtItsDeadline() {
        tell(START + PATIENCE, new BrokerEvent.DeadlineDue(REF));
        assertEquals(all(Effect.Recall.class).size(), 1);
        assertEquals(answers(), List.of());
        tell(START + PATIENCE, new BrokerEvent.DeadlineDue(REF));
        assertEquals(all(Effect.Withdraw.class).size(), 1);
        assertEquals(answers().size(), 1);
        assertTrue(answers().get(0) instanceof Reply.Failed, answers().toString());
    }

    @Test
    public void writeThatHasNotBegunIsRefusedAtItsDeadline() {
        tell(START + PATIENCE, new BrokerEvent.DeadlineDue(REF));
        ended(START + PATIENCE, Result.NOT_SENT);
        tell(START + PATIENCE, new BrokerEvent.DeadlineDue(REF));
        assertEquals(answers().size(), 1);
        assertTrue(answers().get(0) instanceof Reply.Refused, answers().toString());
    }

    @Test
    public void firstAttemptMayBeginUntilItsDeadline() {
        assertEquals(sends().get(0).beginBy(), START + PATIENCE);
    }

    @Test
    public void repeatMayBeginOnlyWithinItsKeysWindow() {
        ended(START + 100 * MS, Result.RESET);
        assertEquals(sends().size(), 2);
        assertEquals(sends().get(1).beginBy(), START + KEY_TTL);
    }

    @Test
    public void repeatOfWhatNeverRanMayBeginUntilItsDeadline() {
        ended(START + 100 * MS, Result.FULL);
        assertEquals(sends().size(), 2);
        assertEquals(sends().get(1).beginBy(), START + PATIENCE);
    }
}
