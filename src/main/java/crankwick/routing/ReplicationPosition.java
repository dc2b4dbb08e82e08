package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.NEVER;

/** The replication progress of one endpoint: its highest observed log position and the time of observation. */
final class ReplicationPosition {
    /** A replica last observed with a lag below this is assumed to have advanced by at least this since. */
    private static final long SMALL_LAG_MICROS = 500 * MICROS_PER_MILLI;

    private static final long INELIGIBLE_BACKOFF_MICROS = 40 * MICROS_PER_MILLI;

    private long position = Long.MIN_VALUE;
    private long observedAt = NEVER;
    private long ineligibleAt = NEVER;

    /** Records an observed position; positions that are not higher than the known one are ignored. */
    void advance(long observed, long now) {
        if (observed > position) {
            position = observed;
            observedAt = now;
        }
    }

    /** Records that the endpoint rejected a request as {@code INELIGIBLE_REPLICA}. */
    void recordIneligible(long now) {
        ineligibleAt = now;
    }

    boolean hasReached(long required) {
        return position >= required;
    }

    /** Returns the lag at the time of the last observation. */
    long observedLag() {
        return observedAt - position;
    }

    long lagAt(long now) {
        return now - position;
    }

    /**
     * Returns whether the endpoint may reach the required position within {@code horizon} from now, if its lag does not
     * grow.
     */
    boolean mayReachWithin(long horizon, long required, long now) {
        long maxProgress = horizon + now - observedAt;
        return required - position < maxProgress;
    }

    /**
     * Returns whether an endpoint that checks its own position may serve the read. The lag is assumed not to have grown
     * since the last observation. If it was small, the endpoint may also have caught up; if no position was ever
     * observed, any position may have been reached. Returns false shortly after the endpoint has rejected a request as
     * ineligible.
     */
    boolean mayHaveReached(long required, long now) {
        boolean hadSmallLag = observedLag() < SMALL_LAG_MICROS;
        long progress = Math.max(hadSmallLag ? SMALL_LAG_MICROS : 0, now - observedAt);
        boolean plausible = position == Long.MIN_VALUE || required - position < progress;
        return plausible && now - ineligibleAt > INELIGIBLE_BACKOFF_MICROS;
    }
}
