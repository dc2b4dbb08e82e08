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

/** When discovery is called and which responses are accepted; also simulates fleets with fixed seeds. */
public class EndpointWatchTest {
    private static final long SECOND = 1_000_000;

    private static DrainSimulation simulation(int proxies, long seed, long timerDelay) {
        return new DrainSimulation(new DrainSimulation.Options(proxies, 20, seed, 1_900_000, timerDelay));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 1}, {6, 2}, {14, 3}, {100, 4}, {120, 5}, {120, 6}, {120, 7}, {120, 8}};
    }

    @Test(dataProvider = "fleets")
    public void everyDrainIsReceivedInTime(int proxies, int seed) {
        DrainSimulation simulation = simulation(proxies, seed, 0);
        Map<String, Object> figures = simulation.run().figures();
        assertNull(simulation.firstViolation(), simulation.firstViolation());
        assertEquals(figures.get("heard_late"), 0L);
        assertEquals(figures.get("not_heard"), 0L);
        double perSecond = (double) figures.get("calls_per_proxy_s");
        assertTrue(perSecond > 0.2 && perSecond < 0.5, figures.toString());
    }

    /** The simulation detects a defect: with timers that are 5 s late, proxies receive drains too late. */
    @Test
    public void lateTimersAreDetected() {
        DrainSimulation simulation = simulation(120, 5, 5 * SECOND);
        assertTrue((long) simulation.run().figures().get("heard_late") > 0);
        assertNotNull(simulation.firstViolation());
    }

    /** Records the requested versions, and the ended or detached calls as negative numbers. */
    private static EndpointWatch newWatch(List<Long> requests) {
        return new EndpointWatch(41, 1, new EndpointWatch.Calls() {
            @Override
            public void open(long call, long fromVersion, long longPollTimeout) {
                requests.add(fromVersion);
            }

            @Override
            public void end(long call) {
                requests.add(-call);
            }

            @Override
            public void detach(long call) {
                requests.add(-call);
            }
        });
    }

    @Test
    public void olderVersionIsAcceptedOnlyAfterTheFullListConfirmsIt() {
        List<Long> requests = new ArrayList<>();
        EndpointWatch watch = newWatch(requests);
        watch.start(0);
        watch.onTimer(SECOND);
        assertFalse(watch.onResponse(1, 7, true, SECOND));
        watch.onTimer(2 * SECOND);
        assertTrue(watch.onResponse(2, 7, true, 2 * SECOND));
        assertEquals(requests, List.of(41L, EndpointWatch.FULL_LIST, 7L));
        assertTrue(watch.onResponse(3, 9, false, 3 * SECOND), "the readable entries are accepted");
        assertTrue(watch.nextTimerAt() > 3 * SECOND);
        watch.onTimer(4 * SECOND);
        assertEquals(requests.get(3), Long.valueOf(7), "and the list is requested again");
        assertTrue(watch.onResponse(4, 7, true, 4 * SECOND));
        assertEquals(requests.size(), 4, "an early response without changes does not trigger the next call at once");
        watch.onServerChanged(5 * SECOND);
        assertEquals(requests.get(4), Long.valueOf(EndpointWatch.FULL_LIST));
    }

    /** Guards against an entry that stays unreadable making every proxy reopen its watch without limit. */
    @Test
    public void unreadableEntriesAreRetriedALimitedNumberOfTimesPerVersion() {
        List<Long> requests = new ArrayList<>();
        EndpointWatch watch = newWatch(requests);
        watch.onServerChanged(0);
        long now = 0;
        for (long version : new long[] {50, 50, 50, 50, 51, 51, 52}) {
            // Longer than any backoff, but shorter than the timeout of an open call.
            now += EndpointWatch.MAX_BACKOFF_MICROS
                    + (EndpointWatch.CONNECT_TIMEOUT_MICROS - EndpointWatch.MAX_BACKOFF_MICROS) / 2;
            watch.onTimer(now);
            assertTrue(watch.onResponse(requests.size(), version, false, now), "the readable entries are accepted");
        }
        long full = EndpointWatch.FULL_LIST;
        assertEquals(
                requests,
                List.of(full, full, full, full, 50L, 50L, 50L),
                "continues from version 50 after the fourth response");
        now += EndpointWatch.MAX_BACKOFF_MICROS;
        watch.onTimer(now);
        assertTrue(watch.onResponse(8, 52, true, now), "a readable list ends the failure");
        assertEquals(watch.failingSince(), Long.MAX_VALUE);
    }
}
