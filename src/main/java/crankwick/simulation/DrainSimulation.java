package crankwick.simulation;

import static crankwick.simulation.TimeUnits.SECONDS;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Simulates a fleet of endpoint watches that poll one discovery service. In each round, a fault hits all pending long
 * polls at once, and then a drain starts. In two of three rounds the connections stall; in every third round they are
 * reset, alternately with and without an outage of discovery, after which the calls of the fleet queue up. The times
 * are drawn by seed. The simulation checks that every proxy is notified of each drain before the end of its drain
 * grace.
 */
public final class DrainSimulation {
    private static final long START_MICROS = 1_000 * SECONDS;
    private static final long WARM_UP_MICROS = 8 * SECONDS;
    private static final long MAX_OUTAGE_MICROS = 3 * SECONDS;
    private static final long MAX_DELAY_BEFORE_DRAIN_MICROS = 2 * SECONDS;
    private static final long ROUND_MICROS = 12 * SECONDS;
    /**
     * Each proxy must have been notified of a drain by the time that this period has elapsed since the drain took
     * effect for the proxy; otherwise, the simulation counts a late notification.
     */
    private static final long DRAIN_GRACE_MICROS = 2 * SECONDS;

    private static final long INITIAL_VERSION = 41;

    /**
     * Options of a run.
     *
     * @param proxies size of the fleet, at least 1
     * @param rounds number of faults, each followed by a drain, at least 1
     * @param fullCycleMicros how long discovery takes to process one call from each proxy of the fleet in sequence
     * @param timerDelayMicros how late each timer of a proxy's watch fires; a large delay is a deliberate defect
     */
    public record Options(int proxies, int rounds, long seed, long fullCycleMicros, long timerDelayMicros) {}

    private final Options options;
    private final SimulatedClock clock = new SimulatedClock(START_MICROS);
    private final SplittableRandom random;
    private final PolledDiscovery discovery;
    private final List<WatchingProxy> proxies = new ArrayList<>();
    private long lateNotifications;
    private String firstViolation;

    /** Prepares a run. */
    public DrainSimulation(Options options) {
        this.options = options;
        random = new SplittableRandom(options.seed());
        discovery = new PolledDiscovery(clock, options.fullCycleMicros() / options.proxies(), INITIAL_VERSION);
        for (int i = 0; i < options.proxies(); i++) {
            proxies.add(new WatchingProxy(i, clock, discovery, options.timerDelayMicros(), random.nextLong()));
        }
    }

    /** Runs all rounds. */
    public DrainReport run() {
        proxies.forEach(WatchingProxy::start);
        advance(WARM_UP_MICROS);
        for (int round = 0; round < options.rounds(); round++) {
            if (round % 3 == 2) {
                resetConnections(round % 2 == 0);
            } else {
                proxies.forEach(WatchingProxy::stallConnection);
            }
            advance(random.nextLong(1, MAX_DELAY_BEFORE_DRAIN_MICROS));
            startDrain();
            advance(ROUND_MICROS);
        }
        return new DrainReport(
                options.proxies(),
                options.rounds(),
                lateNotifications,
                proxies.stream()
                        .filter(proxy -> proxy.version() < discovery.version())
                        .count(),
                discovery.calls() / (double) options.proxies() / ((clock.now() - START_MICROS) / (double) SECONDS));
    }

    /**
     * Describes the first case of a proxy that had not received a drain by the end of the drain grace; null if there
     * was none.
     */
    public String firstViolation() {
        return firstViolation;
    }

    private void advance(long duration) {
        boolean[] elapsed = {false};
        clock.scheduleAfter(duration, () -> elapsed[0] = true);
        while (!elapsed[0]) {
            clock.runNext();
        }
    }

    /**
     * Resets all pending long polls at once, then waits for up to {@link #MAX_OUTAGE_MICROS}. With {@code withOutage},
     * discovery rejects all calls during this time.
     */
    private void resetConnections(boolean withOutage) {
        proxies.forEach(WatchingProxy::resetPendingPoll);
        discovery.setDown(withOutage);
        advance(random.nextLong(1, MAX_OUTAGE_MICROS));
        discovery.setDown(false);
    }

    /** Starts a drain, and schedules for each proxy a check at the end of this proxy's drain grace. */
    private void startDrain() {
        discovery.publishNextVersion();
        long drain = discovery.version();
        for (WatchingProxy proxy : proxies) {
            clock.schedule(proxy.drainEffectiveAt() + DRAIN_GRACE_MICROS, () -> checkNotified(proxy, drain));
            proxy.onVersionPublished();
        }
    }

    private void checkNotified(WatchingProxy proxy, long drain) {
        if (proxy.version() < drain) {
            lateNotifications++;
            firstViolation = firstViolation != null
                    ? firstViolation
                    : "proxy " + proxy.number() + " was not notified of drain " + drain
                            + " before the end of the drain grace";
        }
    }
}
