package crankwick.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import crankwick.simulation.DrainSimulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When discovery is called and what is taken of its answers; fleets before it, in simulated time by seed. */
public class EndpointWatchTest {
    private static final long SECOND = 1_000_000;

    private static DrainSimulation lab(int proxies, long seed, long lateness) {
        return new DrainSimulation(new DrainSimulation.Options(proxies, 20, seed, 1_900_000, lateness));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 1}, {6, 2}, {14, 3}, {100, 4}, {120, 5}, {120, 6}, {120, 7}, {120, 8}};
    }

    @Test(dataProvider = "fleets")
    public void everyDrainIsHeardInTime(int proxies, int seed) {
        DrainSimulation lab = lab(proxies, seed, 0);
        Map<String, Object> figures = lab.run().figures();
        assertNull(lab.firstViolation(), lab.firstViolation());
        assertEquals(figures.get("heard_late"), 0L);
        assertEquals(figures.get("not_heard"), 0L);
        double perSecond = (double) figures.get("calls_per_proxy_s");
        assertTrue(perSecond > 0.2 && perSecond < 0.5, figures.toString());
    }

    /** The check finds a defect: timers that are 5 s late let drains pass. */
    @Test
    public void lateTimersAreFound() {
        DrainSimulation lab = lab(120, 5, 5 * SECOND);
        assertTrue((long) lab.run().figures().get("heard_late") > 0);
        assertNotNull(lab.firstViolation());
    }

    /** Notes what is asked for, and the calls that are ended as negative numbers. */
    private static EndpointWatch keeper(List<Long> asked) {
        return new EndpointWatch(41, 1, new EndpointWatch.Calls() {
            @Override
            public void open(long call, long from, long hold) {
                asked.add(from);
            }

            @Override
            public void end(long call) {
                asked.add(-call);
            }

            @Override
            public void detach(long call) {
                asked.add(-call);
            }
        });
    }

    @Test
    public void olderAnswerIsTakenOnlyWhenTheWholeListSaysSoAgain() {
        List<Long> asked = new ArrayList<>();
        EndpointWatch keeper = keeper(asked);
        keeper.start(0);
        keeper.onTimer(SECOND);
        assertFalse(keeper.onResponse(1, 7, true, SECOND));
        keeper.onTimer(2 * SECOND);
        assertTrue(keeper.onResponse(2, 7, true, 2 * SECOND));
        assertEquals(asked, List.of(41L, EndpointWatch.FULL_LIST, 7L));
        assertTrue(keeper.onResponse(3, 9, false, 3 * SECOND), "what can be read of it counts");
        assertTrue(keeper.nextTimerAt() > 3 * SECOND);
        keeper.onTimer(4 * SECOND);
        assertEquals(asked.get(3), Long.valueOf(7), "and is asked for again");
        assertTrue(keeper.onResponse(4, 7, true, 4 * SECOND));
        assertEquals(asked.size(), 4, "nothing newer before its time: no call at once");
        keeper.onServerChanged(5 * SECOND);
        assertEquals(asked.get(4), Long.valueOf(EndpointWatch.FULL_LIST));
    }

    /** Guards against an entry that stays unreadable having every proxy open watch after watch. */
    @Test
    public void whatStaysUnreadableIsAskedForAgainAFewTimesForEachVersion() {
        List<Long> asked = new ArrayList<>();
        EndpointWatch keeper = keeper(asked);
        keeper.onServerChanged(0);
        long now = 0;
        for (long version : new long[] {50, 50, 50, 50, 51, 51, 52}) {
            // Past every pause, before an open call is given up.
            now += EndpointWatch.MAX_BACKOFF_MICROS
                    + (EndpointWatch.CONNECT_TIMEOUT_MICROS - EndpointWatch.MAX_BACKOFF_MICROS) / 2;
            keeper.onTimer(now);
            assertTrue(keeper.onResponse(asked.size(), version, false, now), "what can be read counts");
        }
        long whole = EndpointWatch.FULL_LIST;
        assertEquals(asked, List.of(whole, whole, whole, whole, 50L, 50L, 50L), "on from 50 at the fourth");
        now += EndpointWatch.MAX_BACKOFF_MICROS;
        keeper.onTimer(now);
        assertTrue(keeper.onResponse(8, 52, true, now), "and a readable one has the trouble end");
        assertEquals(keeper.failingSince(), Long.MAX_VALUE);
    }
}
