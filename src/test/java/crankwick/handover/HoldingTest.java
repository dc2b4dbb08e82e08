package crankwick.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.Test;

/** How long a change may yet take, and who waits for its end. */
public class HoldingTest {
    private static final long S = 1_000_000;

    private static HandoverSettings bounds(int perGroup, int perTeam, long bytesPerGroup, long bytesPerTeam) {
        HandoverSettings d = HandoverSettings.DEFAULT;
        return new HandoverSettings(
                perGroup,
                perTeam,
                bytesPerGroup,
                bytesPerTeam,
                d.hopeLeast(),
                d.startWindow(),
                d.keyMargin(),
                d.keys(),
                d.keyMemory(),
                d.unplannedLeast(),
                d.unplannedMost(),
                d.plannedLeast(),
                d.plannedMost());
    }

    @Test
    public void hopeFollowsThePriorThenWhatWasSeen() {
        ChangeTimes times = new ChangeTimes(2_900_000, 6_600_000);
        assertEquals(times.hope(0, 2 * S), 0.0, "no change is so short");
        assertEquals(times.hope(0, 8 * S), 1.0);
        double early = times.hope(0, 4 * S);
        assertTrue(early > 0.2 && early < 0.4, "" + early);
        for (int i = 0; i < 64; i++) {
            times.add(S);
        }
        assertTrue(times.hope(0, 2 * S) > 0.7);
        assertTrue(times.remaining(0) <= S);
    }

    /** A change that outlasts all experience is neither hopeless nor certain. */
    @Test
    public void beyondExperienceHopeFadesWithAge() {
        ChangeTimes times = new ChangeTimes(490_000, S);
        double soon = times.hope(2 * S, 3 * S);
        double late = times.hope(60 * S, 3 * S);
        assertTrue(soon > 0.5 && soon < 0.7, "" + soon);
        assertTrue(late < 0.06, "" + late);
        assertEquals(times.hope(2 * S, 0), 0.0);
    }

    @Test
    public void worthAndTimeLeftDecideWhoGoesFirst() {
        HoldQueue queue = new HoldQueue(HandoverSettings.DEFAULT, new HashMap<>());
        queue.add(new HoldQueue.Held(1, "t", 1, 10 * S, 10));
        queue.add(new HoldQueue.Held(2, "t", 6, 10 * S, 10));
        queue.add(new HoldQueue.Held(3, "t", 1, 9 * S, 10));
        assertEquals(queue.first().ref(), 3, "its time ends first");
        queue.remove(3);
        assertEquals(queue.first().ref(), 2, "as late, and worth more");
        queue.remove(2);
        queue.remove(1);
        assertNull(queue.first());
        assertNull(queue.remove(1));
    }

    @Test
    public void boundsHoldForGroupsTeamsAndBytes() {
        Map<String, HoldQueue.Share> shares = new HashMap<>();
        HandoverSettings settings = bounds(3, 4, 100, 120);
        HoldQueue one = new HoldQueue(settings, shares);
        HoldQueue other = new HoldQueue(settings, shares);
        assertTrue(one.add(new HoldQueue.Held(1, "a", 1, S, 40)));
        assertTrue(one.add(new HoldQueue.Held(2, "a", 1, S, 40)));
        assertFalse(one.add(new HoldQueue.Held(3, "a", 1, S, 40)), "bytes of the group");
        assertTrue(one.add(new HoldQueue.Held(4, "b", 1, S, 5)));
        assertFalse(one.add(new HoldQueue.Held(5, "b", 1, S, 5)), "requests of the group");
        assertTrue(other.add(new HoldQueue.Held(6, "a", 1, S, 20)));
        assertFalse(other.add(new HoldQueue.Held(7, "a", 1, S, 30)), "bytes of the team");
        assertTrue(other.add(new HoldQueue.Held(8, "a", 1, S, 5)));
        assertFalse(other.add(new HoldQueue.Held(9, "a", 1, S, 1)), "requests of the team");
        for (long ref : new long[] {1, 2, 4}) {
            one.remove(ref);
        }
        other.remove(6);
        other.remove(8);
        assertTrue(shares.isEmpty(), "nothing is kept of teams that hold nothing");
        assertEquals(one.bytes() + other.bytes() + one.size() + other.size(), 0);
    }
}
