package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Estimates of the remaining duration of a failover. */
public class FailoverDurationsTest {
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Test
    public void successProbabilityFollowsThePriorThenObservations() {
        FailoverDurations durations = new FailoverDurations(2_900_000, 6_600_000);
        assertEquals(durations.successProbability(0, 2 * MICROS_PER_SECOND), 0.0, "all samples are longer");
        assertEquals(durations.successProbability(0, 8 * MICROS_PER_SECOND), 1.0);
        double early = durations.successProbability(0, 4 * MICROS_PER_SECOND);
        assertTrue(early > 0.2 && early < 0.4, "" + early);
        for (int i = 0; i < 64; i++) {
            durations.add(MICROS_PER_SECOND);
        }
        assertTrue(durations.successProbability(0, 2 * MICROS_PER_SECOND) > 0.7);
        assertTrue(durations.medianRemaining(0) <= MICROS_PER_SECOND);
    }

    /** A failover longer than all samples gets a success probability between 0 and 1, which falls with age. */
    @Test
    public void successProbabilityBeyondAllSamplesFallsWithAge() {
        FailoverDurations durations = new FailoverDurations(490_000, MICROS_PER_SECOND);
        double soon = durations.successProbability(2 * MICROS_PER_SECOND, 3 * MICROS_PER_SECOND);
        double late = durations.successProbability(60 * MICROS_PER_SECOND, 3 * MICROS_PER_SECOND);
        assertTrue(soon > 0.5 && soon < 0.7, "" + soon);
        assertTrue(late < 0.06, "" + late);
        assertEquals(durations.successProbability(2 * MICROS_PER_SECOND, 0), 0.0);
    }
}
