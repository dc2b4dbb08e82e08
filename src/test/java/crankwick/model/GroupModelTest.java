package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.model.ModelEvent.Trouble.Kind;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The modelled group does what the site says of its databases; times in microseconds. */
public class GroupModelTest {
    private static final long MS = 1_000;
    private static final long T = 1_000_000_000;

    private final List<ModelEffect> effects = new ArrayList<>();
    private GroupModel group;
    private long now;

    @BeforeMethod
    public void aGroupLedByItsFirstMember() {
        effects.clear();
        group = new GroupModel(ModelSettings.SITE, 5, T);
        now = T;
    }

    private void tell(ModelEvent event) {
        group.handle(event, now, effects::add);
    }

    private void advance(long span) {
        long until = now + span;
        while (group.nextDue() <= until) {
            now = Math.max(now, group.nextDue());
            tell(new ModelEvent.Due());
        }
        now = until;
    }

    private ModelEffect.Answered answer(long ref) {
        return effects.stream()
                .filter(e -> e instanceof ModelEffect.Answered a && a.ref() == ref)
                .map(e -> (ModelEffect.Answered) e)
                .findFirst()
                .orElse(null);
    }

    private long count(Class<? extends ModelEffect> kind) {
        return effects.stream().filter(kind::isInstance).count();
    }

    @Test
    public void aKeyIsAppliedOnceWithinItsWindowAndAgainAfterIt() {
        tell(new ModelEvent.Query(1, 0, "k", 0));
        advance(100 * MS);
        tell(new ModelEvent.Query(2, 0, "k", 0));
        advance(100 * MS);
        assertEquals(answer(1).result(), AttemptResult.OK);
        assertEquals(answer(2).result(), AttemptResult.OK);
        assertEquals(count(ModelEffect.Applied.class), 1);
        advance(2_000 * MS);
        tell(new ModelEvent.Query(3, 0, "k", 0));
        advance(100 * MS);
        assertEquals(count(ModelEffect.Applied.class), 2);
    }

    @Test
    public void whatNobodyReceivedLeavesWithItsPrimary() {
        tell(new ModelEvent.Trouble(Kind.DIE, 1));
        tell(new ModelEvent.Trouble(Kind.DIE, 2));
        tell(new ModelEvent.Query(1, 0, "k", 0));
        advance(200 * MS);
        assertEquals(count(ModelEffect.Applied.class), 1);
        assertEquals(answer(1), null, "no replica has it, so nobody is told");
        tell(new ModelEvent.Trouble(Kind.RETURN, 1));
        tell(new ModelEvent.Trouble(Kind.DIE, 0));
        advance(10_000 * MS);
        assertEquals(group.leader(), 1);
        assertEquals(count(ModelEffect.Broken.class), 1);
    }

    @Test
    public void aHungPrimaryIsOvertakenAndStillClaimsWhenItComesBack() {
        tell(new ModelEvent.Trouble(Kind.HANG, 0));
        tell(new ModelEvent.Query(1, 0, "k", 0));
        advance(2_800 * MS);
        assertEquals(group.leader(), -1);
        advance(3_900 * MS);
        assertTrue(group.leader() > 0);
        tell(new ModelEvent.Trouble(Kind.RETURN, 0));
        tell(new ModelEvent.Probe(2, 0));
        assertEquals(answer(2).role(), Role.PRIMARY);
        assertTrue(answer(2).position() < T + 10 * MS, "and stands where it hung");
        advance(1_100 * MS);
        tell(new ModelEvent.Probe(3, 0));
        assertEquals(answer(3).role(), Role.REPLICA);
        assertEquals(answer(1).result(), AttemptResult.ERROR, "what it held may have run");
        assertEquals(count(ModelEffect.Applied.class), 0);
    }

    @Test
    public void aHungPrimaryThatIsBackBeforeItIsGivenUpGoesOn() {
        tell(new ModelEvent.Trouble(Kind.HANG, 0));
        tell(new ModelEvent.Query(1, 0, "k", 0));
        advance(1_000 * MS);
        tell(new ModelEvent.Trouble(Kind.RETURN, 0));
        advance(100 * MS);
        assertEquals(group.leader(), 0);
        assertEquals(answer(1).result(), AttemptResult.OK);
        advance(10_000 * MS);
        assertEquals(group.leader(), 0);
    }

    @Test
    public void aDrainingPrimaryFinishesWhatItHasAndHandsOver() {
        tell(new ModelEvent.Query(1, 0, "k", 0));
        tell(new ModelEvent.Trouble(Kind.DRAIN, 0));
        tell(new ModelEvent.Query(2, 0, "l", 0));
        assertEquals(answer(2).result(), AttemptResult.REJECTED_OVERLOADED);
        advance(1_000 * MS);
        assertEquals(answer(1).result(), AttemptResult.OK);
        assertTrue(group.leader() > 0);
        tell(new ModelEvent.Query(3, group.leader(), "k", 0));
        advance(100 * MS);
        assertEquals(answer(3).result(), AttemptResult.OK);
        assertEquals(count(ModelEffect.Applied.class), 1, "the key's memory went over with the log");
    }

    @Test
    public void aColdMemberFallsWhenSentTooMuchAndStaysDown() {
        tell(new ModelEvent.Trouble(Kind.DIE, 1));
        tell(new ModelEvent.Trouble(Kind.RETURN, 1));
        for (long ref = 1; ref <= 1_000 && count(ModelEffect.Fell.class) == 0; ref++) {
            tell(new ModelEvent.Query(ref, 1, null, 0));
            advance(MS);
        }
        assertEquals(count(ModelEffect.Fell.class), 1);
        tell(new ModelEvent.Trouble(Kind.RETURN, 1));
        assertTrue(group.refuses(1));
        assertFalse(group.refuses(2));
    }

    @Test
    public void aReadWaitsForItsPositionAndIsTurnedAwayWhenThatIsFar() {
        advance(10 * MS);
        tell(new ModelEvent.Query(1, 1, null, now));
        tell(new ModelEvent.Query(2, 2, null, now + 500 * MS));
        advance(60 * MS);
        assertEquals(answer(1).result(), AttemptResult.OK);
        assertTrue(answer(1).position() >= T + 10 * MS);
        assertEquals(answer(2).result(), AttemptResult.INELIGIBLE_REPLICA);
    }
}
