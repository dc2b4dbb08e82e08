package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import org.testng.annotations.Test;

/** Positions from the future are discarded. */
public class PositionCheckTest {
    private static final long NOW = 1_000_000_000;
    private static final long MAX_SKEW = 1_000_000;

    private static LoadReport report(long position) {
        return new LoadReport(position, Role.REPLICA, 0, 0, 0);
    }

    @Test
    public void positionsUpToTheClockSkewAreKept() {
        assertEquals(PositionCheck.plausible(NOW + MAX_SKEW, NOW), NOW + MAX_SKEW);
        assertEquals(PositionCheck.plausible(NOW + MAX_SKEW + 1, NOW), AbsentValue.NONE);
        assertEquals(PositionCheck.plausible(AbsentValue.NONE, NOW), AbsentValue.NONE);
    }

    @Test
    public void reportsWithPositionsFromTheFutureAreDiscarded() {
        LoadReport plausible = report(NOW);
        assertSame(PositionCheck.plausible(plausible, NOW), plausible);
        assertNull(PositionCheck.plausible(report(NOW + MAX_SKEW + 1), NOW));
        assertNull(PositionCheck.plausible((LoadReport) null, NOW));
    }
}
