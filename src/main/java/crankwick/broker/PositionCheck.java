package crankwick.broker;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.LoadReport;

/** Discards log positions from the future, which would make a database pass for up to date. */
final class PositionCheck {
    /** How far a database's clock may be ahead. */
    private static final long MAX_CLOCK_SKEW_MICROS = 1_000_000;

    private PositionCheck() {}

    /** The position, or NONE if it is implausible. */
    static long plausible(long position, long now) {
        return position <= now + MAX_CLOCK_SKEW_MICROS ? position : AbsentValue.NONE;
    }

    /** The report, or null if its position is implausible. */
    static LoadReport plausible(LoadReport report, long now) {
        return report == null || plausible(report.position(), now) == report.position() ? report : null;
    }
}
