package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A few seeds of {@link FaultSoak}; by hand more of them, with {@code -Dcrankwick.soak.first=1
 * -Dcrankwick.soak.count=50}.
 */
public class FaultSoakIT {
    private static final long FIRST = Long.getLong("crankwick.soak.first", 1);
    private static final long COUNT = Long.getLong("crankwick.soak.count", 4);

    /** The seeds to be played. */
    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(FIRST, FIRST + COUNT)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noRuleIsBroken(long seed) throws Exception {
        FaultSoak.Outcome outcome = new FaultSoak(seed).run();
        System.out.println("soak seed " + seed + ": " + outcome.requests() + " requests, " + outcome.attempts()
                + " attempts, breaks " + outcome.breaks());
        assertTrue(outcome.requests() > 100, "too little traffic to judge: " + outcome.requests());
        assertEquals(outcome.errors().toString(), "[]");
        assertEquals(outcome.breaks().toString(), "[]");
    }
}
