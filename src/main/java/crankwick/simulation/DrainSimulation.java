package crankwick.simulation;

import static crankwick.simulation.TimeUnits.SECONDS;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A fleet of endpoint watches before one discovery, in simulated time by seed: watches fall silent or are reset
 * together, discovery goes down and comes back to callers that it takes in turn, and databases begin to drain
 * around it. Checked is that every proxy knows of each drain before it must be honoured.
 */
public final class DrainSimulation {
    private static final long START_MICROS = 1_000 * SECONDS;
    private static final long WARM_UP_MICROS = 8 * SECONDS;
    private static final long MAX_OUTAGE_MICROS = 3 * SECONDS;
    private static final long MAX_PAUSE_BEFORE_DRAIN_MICROS = 2 * SECONDS;
    private static final long ROUND_MICROS = 12 * SECONDS;
    /** From a drain that is known to the last send to that database. */
    private static final long DRAIN_GRACE_MICROS = 2 * SECONDS;

    private static final long INITIAL_VERSION = 41;

    /**
     * What to run.
     *
     * @param proxies how many there are, from 1
     * @param rounds faults, each with a drain, from 1
     * @param fleetTurnMicros how long discovery takes to answer all proxies once
     * @param timerDelayMicros how late each timer of a proxy is: a deliberate defect where it is large
     */
    public record Options(int proxies, int rounds, long seed, long fleetTurnMicros, long timerDelayMicros) {}

    private final Options options;
    private final SimulatedClock clock = new SimulatedClock(START_MICROS);
    private final SplittableRandom random;
    private final PolledDiscovery discovery;
    private final List<WatchingProxy> proxies = new ArrayList<>();
    private long receivedLate;
    private String firstViolation;

    /** Prepares a run. */
    public DrainSimulation(Options options) {
        this.options = options;
        random = new SplittableRandom(options.seed());
        discovery = new PolledDiscovery(clock, options.fleetTurnMicros() / options.proxies(), INITIAL_VERSION);
        for (int i = 0; i < options.proxies(); i++) {
            proxies.add(new WatchingProxy(i, clock, discovery, options.timerDelayMicros(), random.nextLong()));
        }
    }

    /** Runs all rounds. */
    public DrainReport run() {
        proxies.forEach(WatchingProxy::start);
        pass(WARM_UP_MICROS);
        for (int round = 0; round < options.rounds(); round++) {
            if (round % 3 == 2) {
                resetConnections(round % 2 == 0);
            } else {
                proxies.forEach(WatchingProxy::fallSilent);
            }
            pass(random.nextLong(1, MAX_PAUSE_BEFORE_DRAIN_MICROS));
            beginDrain();
            pass(ROUND_MICROS);
        }
        return new DrainReport(
                options.proxies(),
                options.rounds(),
                receivedLate,
                proxies.stream()
                        .filter(proxy -> proxy.version() < discovery.version())
                        .count(),
                discovery.calls() / (double) options.proxies() / ((clock.now() - START_MICROS) / (double) SECONDS));
    }

    /** The first drain that was known too late; null if none was. */
    public String firstViolation() {
        return firstViolation;
    }

    private void pass(long duration) {
        boolean[] over = {false};
        clock.scheduleAfter(duration, () -> over[0] = true);
        while (!over[0]) {
            clock.runNext();
        }
    }

    /** Held calls are reset together; discovery may stay down for a while. */
    private void resetConnections(boolean goesDown) {
        proxies.forEach(WatchingProxy::resetHeldCall);
        discovery.setDown(goesDown);
        pass(random.nextLong(1, MAX_OUTAGE_MICROS));
        discovery.setDown(false);
    }

    /** A database begins to drain: open watches receive that at once, the others when the rules say. */
    private void beginDrain() {
        discovery.publishNextVersion();
        long drain = discovery.version();
        for (WatchingProxy proxy : proxies) {
            clock.schedule(proxy.drainKnownAt() + DRAIN_GRACE_MICROS, () -> check(proxy, drain));
            proxy.onPublished();
        }
    }

    private void check(WatchingProxy proxy, long drain) {
        if (proxy.version() < drain) {
            receivedLate++;
            firstViolation = firstViolation != null
                    ? firstViolation
                    : "proxy " + proxy.number() + " has not heard of drain " + drain + " in time";
        }
    }
}
