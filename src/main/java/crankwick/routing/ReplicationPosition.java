package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.NEVER;

/** The replication progress of one endpoint: its highest observed log position and the time of observation. */
final class ReplicationPosition {
    /** A replica observed with a lag below this may have caught up since. */
    private static final long SMALL_LAG_MICROS = 500 * MICROS_PER_MILLI;

    private static final long INELIGIBLE_BACKOFF_MICROS = 40 * MICROS_PER_MILLI;

    private long position = Long.MIN_VALUE;
    private long observedAt = NEVER;
    private long ineligibleAt = NEVER;

    /** Records an observed position; lower positions than the known one are ignored. */
    void advance(long observed, long now) {
        if (observed > position) {
            position = observed;
            observedAt = now;
        }
    }

    /** Records that the endpoint rejected a read because its position was too old. */
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

    /** Returns whether replication may reach the required position within {@code horizon} from now. */
    boolean mayReachWithin(long horizon, long required, long now) {
        long maxProgress = horizon + now - observedAt;
        return required - position < maxProgress;
    }

    /**
     * Returns whether an endpoint that checks its own position may serve the read. The lag is assumed to be the same
     * as at the last observation, or zero if the position was never observed.
     */
    boolean mayHaveReached(long required, long now) {
        boolean hadSmallLag = observedLag() < SMALL_LAG_MICROS;
        long progress = Math.max(hadSmallLag ? SMALL_LAG_MICROS : 0, now - observedAt);
        boolean plausible = position == Long.MIN_VALUE || required - position < progress;
        return plausible && now - ineligibleAt > INELIGIBLE_BACKOFF_MICROS;
    }
}
