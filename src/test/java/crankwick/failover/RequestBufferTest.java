package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.Test;

/** How long a change may yet take, and who waits for its end. */
public class RequestBufferTest {
    private static final long S = 1_000_000;

    private static FailoverSettings bounds(int perGroup, int perTeam, long bytesPerGroup, long bytesPerTeam) {
        FailoverSettings d = FailoverSettings.DEFAULT;
        return new FailoverSettings(
                perGroup,
                perTeam,
                bytesPerGroup,
                bytesPerTeam,
                d.minSuccessProbability(),
                d.initialWindow(),
                d.keyMargin(),
                d.maxKeys(),
                d.keyRetention(),
                d.unplannedMin(),
                d.unplannedMax(),
                d.plannedMin(),
                d.plannedMax());
    }

    @Test
    public void hopeFollowsThePriorThenWhatWasSeen() {
        FailoverDurations times = new FailoverDurations(2_900_000, 6_600_000);
        assertEquals(times.successProbability(0, 2 * S), 0.0, "no change is so short");
        assertEquals(times.successProbability(0, 8 * S), 1.0);
        double early = times.successProbability(0, 4 * S);
        assertTrue(early > 0.2 && early < 0.4, "" + early);
        for (int i = 0; i < 64; i++) {
            times.add(S);
        }
        assertTrue(times.successProbability(0, 2 * S) > 0.7);
        assertTrue(times.remaining(0) <= S);
    }

    /** A change that outlasts all experience is neither hopeless nor certain. */
    @Test
    public void beyondExperienceHopeFadesWithAge() {
        FailoverDurations times = new FailoverDurations(490_000, S);
        double soon = times.successProbability(2 * S, 3 * S);
        double late = times.successProbability(60 * S, 3 * S);
        assertTrue(soon > 0.5 && soon < 0.7, "" + soon);
        assertTrue(late < 0.06, "" + late);
        assertEquals(times.successProbability(2 * S, 0), 0.0);
    }

    @Test
    public void worthAndTimeLeftDecideWhoGoesFirst() {
        RequestBuffer queue = new RequestBuffer(FailoverSettings.DEFAULT, new HashMap<>());
        queue.add(new RequestBuffer.BufferedRequest(1, "t", 1, 10 * S, 10));
        queue.add(new RequestBuffer.BufferedRequest(2, "t", 6, 10 * S, 10));
        queue.add(new RequestBuffer.BufferedRequest(3, "t", 1, 9 * S, 10));
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
        Map<String, RequestBuffer.TeamUsage> shares = new HashMap<>();
        FailoverSettings settings = bounds(3, 4, 100, 120);
        RequestBuffer one = new RequestBuffer(settings, shares);
        RequestBuffer other = new RequestBuffer(settings, shares);
        assertTrue(one.add(new RequestBuffer.BufferedRequest(1, "a", 1, S, 40)));
        assertTrue(one.add(new RequestBuffer.BufferedRequest(2, "a", 1, S, 40)));
        assertFalse(one.add(new RequestBuffer.BufferedRequest(3, "a", 1, S, 40)), "bytes of the group");
        assertTrue(one.add(new RequestBuffer.BufferedRequest(4, "b", 1, S, 5)));
        assertFalse(one.add(new RequestBuffer.BufferedRequest(5, "b", 1, S, 5)), "requests of the group");
        assertTrue(other.add(new RequestBuffer.BufferedRequest(6, "a", 1, S, 20)));
        assertFalse(other.add(new RequestBuffer.BufferedRequest(7, "a", 1, S, 30)), "bytes of the team");
        assertTrue(other.add(new RequestBuffer.BufferedRequest(8, "a", 1, S, 5)));
        assertFalse(other.add(new RequestBuffer.BufferedRequest(9, "a", 1, S, 1)), "requests of the team");
        for (long ref : new long[] {1, 2, 4}) {
            one.remove(ref);
        }
        other.remove(6);
        other.remove(8);
        assertTrue(shares.isEmpty(), "nothing is kept of teams that hold nothing");
        assertEquals(one.bytes() + other.bytes() + one.size() + other.size(), 0);
    }
}
