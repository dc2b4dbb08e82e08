package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs {@link FaultSoak} with a few seeds; for more of them, set for instance {@code -Dcrankwick.soak.first=1
 * -Dcrankwick.soak.count=50}.
 */
public class FaultSoakIT {
    private static final long FIRST_SEED = Long.getLong("crankwick.soak.first", 1);
    private static final long SEED_COUNT = Long.getLong("crankwick.soak.count", 4);

    /** The seeds to run. */
    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noRuleIsBroken(long seed) throws Exception {
        FaultSoak.Outcome outcome = new FaultSoak(seed).run();
        System.out.println("soak seed " + seed + ": " + outcome.requests() + " requests, " + outcome.attempts()
                + " attempts, event loop delayed by up to " + outcome.maxLoopDelayMillis() + " ms, violations "
                + outcome.violations());
        assertTrue(outcome.requests() > 100, "too few requests for a meaningful run: " + outcome.requests());
        assertEquals(outcome.errorLines().toString(), "[]");
        assertEquals(outcome.violations().toString(), "[]");
    }
}
