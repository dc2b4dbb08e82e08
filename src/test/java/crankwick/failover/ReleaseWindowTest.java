package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import crankwick.routing.api.AttemptResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The limit on requests that are released to a new leader and open at the same time. */
public class ReleaseWindowTest {
    private static final long LATENCY_OBJECTIVE = 100_000;
    private static final long IN_TIME = 45_000;
    private static final long LATE = IN_TIME + 1;

    private ReleaseWindow window;

    @BeforeMethod
    public void createWindowOfFour() {
        window = new ReleaseWindow();
        window.reset(4);
    }

    /** Acquires all remaining capacity and returns its amount. */
    private int acquireAll() {
        int acquired = 0;
        while (window.hasCapacity()) {
            window.acquire();
            acquired++;
        }
        return acquired;
    }

    @Test
    public void hasNoCapacityBeforeTheFirstLeader() {
        assertFalse(new ReleaseWindow().hasCapacity());
    }

    @Test
    public void growsByOneWithEachAttemptInTime() {
        assertEquals(acquireAll(), 4);
        window.onAttemptEnded(AttemptResult.OK, IN_TIME, LATENCY_OBJECTIVE);
        assertEquals(acquireAll(), 1);
    }

    @Test
    public void shrinksWithLateAndRejectedAttempts() {
        window.onAttemptEnded(AttemptResult.OK, LATE, LATENCY_OBJECTIVE);
        assertEquals(acquireAll(), 3, "the window shrinks from 4 to 2.8, which admits 3 requests");
        window.reset(4);
        window.onAttemptEnded(AttemptResult.REJECTED_OVERLOADED, IN_TIME, LATENCY_OBJECTIVE);
        assertEquals(acquireAll(), 3, "the window shrinks from 4 to 2.8, which admits 3 requests");
    }

    @Test
    public void neverShrinksBelowOne() {
        for (int i = 0; i < 20; i++) {
            window.onAttemptEnded(AttemptResult.REJECTED_OVERLOADED, IN_TIME, LATENCY_OBJECTIVE);
        }
        assertEquals(acquireAll(), 1);
    }

    @Test
    public void releaseReturnsCapacity() {
        assertEquals(acquireAll(), 4);
        window.release();
        window.release();
        assertEquals(acquireAll(), 2);
    }

    @Test
    public void resetFreesAllCapacity() {
        assertEquals(acquireAll(), 4);
        window.reset(4);
        assertEquals(acquireAll(), 4);
    }
}
