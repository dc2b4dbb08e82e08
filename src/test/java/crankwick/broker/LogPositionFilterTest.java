package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import org.testng.annotations.Test;

/** Log positions that are ahead of the proxy's clock by more than the clock skew are discarded. */
public class LogPositionFilterTest {
    private static final long NOW = 1_000_000_000;
    private static final long MAX_SKEW = 1_000_000;

    private static LoadReport report(long position) {
        return new LoadReport(position, Role.REPLICA, 0, 0, 0);
    }

    @Test
    public void positionsBeyondTheClockSkewAreDiscarded() {
        assertEquals(LogPositionFilter.discardImplausible(NOW + MAX_SKEW, NOW), NOW + MAX_SKEW);
        assertEquals(LogPositionFilter.discardImplausible(NOW + MAX_SKEW + 1, NOW), AbsentValue.NONE);
        assertEquals(LogPositionFilter.discardImplausible(AbsentValue.NONE, NOW), AbsentValue.NONE);
    }

    @Test
    public void reportsWithPositionsFromTheFutureAreDiscarded() {
        LoadReport plausible = report(NOW);
        assertSame(LogPositionFilter.discardImplausible(plausible, NOW), plausible);
        assertNull(LogPositionFilter.discardImplausible(report(NOW + MAX_SKEW + 1), NOW));
        assertNull(LogPositionFilter.discardImplausible((LoadReport) null, NOW));
    }
}
