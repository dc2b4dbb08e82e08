package crankwick.broker;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.LoadReport;

/** Discards log positions from the future, which would make a stale database appear up to date. */
final class LogPositionFilter {
    /** How far a database's clock may be ahead of the proxy's clock. */
    private static final long MAX_CLOCK_SKEW_MICROS = 1_000_000;

    private LogPositionFilter() {}

    /** Returns the position, or NONE if it lies in the future by more than the maximum clock skew. */
    static long discardImplausible(long position, long now) {
        return position <= now + MAX_CLOCK_SKEW_MICROS ? position : AbsentValue.NONE;
    }

    /** Returns the report, or null if its position lies in the future by more than the maximum clock skew. */
    static LoadReport discardImplausible(LoadReport report, long now) {
        return report == null || discardImplausible(report.position(), now) == report.position() ? report : null;
    }
}
