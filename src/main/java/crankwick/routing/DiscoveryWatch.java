package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.RoutingActions;
import java.util.SplittableRandom;

/** Schedules watch requests to discovery, with exponential backoff while discovery is unavailable. */
final class DiscoveryWatch {
    /** Identifier of the timer that starts the next watch of discovery. */
    static final long TIMER_ID = 0;

    private static final long INITIAL_BACKOFF_MICROS = 500 * MICROS_PER_MILLI;
    private static final long MAX_BACKOFF_MICROS = 8 * INITIAL_BACKOFF_MICROS;
    private static final long MAX_WATCH_DELAY_MICROS = 100 * MICROS_PER_MILLI;

    private final boolean pollsDiscovery;
    private final SplittableRandom random;
    private long backoff = INITIAL_BACKOFF_MICROS;

    DiscoveryWatch(boolean pollsDiscovery, SplittableRandom random) {
        this.pollsDiscovery = pollsDiscovery;
        this.random = random;
    }

    void onUnavailable(RoutingActions actions) {
        actions.scheduleTimer(Jitter.apply(backoff, random), TIMER_ID);
        backoff = Math.min(MAX_BACKOFF_MICROS, backoff * 2);
    }

    void onUpdate(EndpointUpdateKind kind, RoutingActions actions) {
        if (kind == EndpointUpdateKind.RESTORED && pollsDiscovery) {
            actions.scheduleTimer(1 + random.nextLong(MAX_WATCH_DELAY_MICROS), TIMER_ID);
        } else {
            backoff = INITIAL_BACKOFF_MICROS;
        }
    }
}
