package crankwick.simulation;

import crankwick.discovery.EndpointWatch;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A fleet of {@link EndpointWatch}s before one discovery, in simulated time by seed: watches fall silent or are
 * reset together, discovery goes down and comes back to callers that it takes in turn, and databases begin to
 * drain around it. Checked is that every proxy hears of each drain before it must be honoured.
 */
public final class DrainSimulation {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final long START = 1_000 * SECOND;
    private static final long TRIP = 2 * MS;
    /** From being told to the last send: the settings' usual drain grace. */
    private static final long GRACE = 2 * SECOND;
    /** When what silence or discovery holds back counts as told; for a call that may wait, after its wait. */
    private static final long TOLD = 6 * SECOND;

    private static final long TOLD_AFTER_HOLD = 2 * SECOND;
    /** Discovery turns callers away that would wait longer for their turn. */
    private static final long TURN_MOST = 2 * SECOND;
    /** A call that comes so soon after an answer goes on with its watch, and takes no turn. */
    private static final long GOES_ON = 200 * MS;

    /**
     * What to play.
     *
     * @param proxies how many there are, from 1
     * @param rounds troubles, each with a drain, from 1
     * @param fleetTurn how long discovery takes to answer all proxies once, in microseconds
     * @param lateness of each timer of a proxy, in microseconds: a deliberate defect where it is large
     */
    public record Options(int proxies, int rounds, long seed, long fleetTurn, long lateness) {}

    private final Options options;
    private final SimulatedClock simulation = new SimulatedClock(START);
    private final SplittableRandom random;
    private final List<Proxy> proxies = new ArrayList<>();
    private long version = 41;
    private long busyUntil;
    private boolean down;
    private long calls;
    private long late;
    private String violation;

    /** A lab for one run. */
    public DrainSimulation(Options options) {
        this.options = options;
        random = new SplittableRandom(options.seed());
        for (int i = 0; i < options.proxies(); i++) {
            proxies.add(new Proxy(i, random.nextLong()));
        }
    }

    /** Plays all rounds; the figures are drains heard too late, and calls for each proxy and second. */
    public Map<String, Object> run() {
        proxies.forEach(p -> p.tell(() -> p.keeper.start(simulation.now())));
        pass(8 * SECOND);
        for (int round = 0; round < options.rounds(); round++) {
            if (round % 3 == 2) {
                proxies.stream().filter(p -> p.waits).forEach(p -> p.fail(p.call));
                down = round % 2 == 0;
                pass(random.nextLong(1, 3 * SECOND));
                down = false;
            } else {
                proxies.forEach(p -> p.fallSilent(simulation.now()));
            }
            pass(random.nextLong(1, 2 * SECOND));
            drain();
            pass(12 * SECOND);
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("proxies", options.proxies());
        figures.put("drains", options.rounds());
        figures.put("heard_late", late);
        figures.put(
                "not_heard", proxies.stream().filter(p -> p.version < version).count());
        figures.put(
                "calls_per_proxy_s",
                calls / (double) options.proxies() / ((simulation.now() - START) / (double) SECOND));
        return figures;
    }

    /** The first drain that was heard too late; null if none was. */
    public String violation() {
        return violation;
    }

    private void pass(long span) {
        boolean[] over = {false};
        simulation.after(span, () -> over[0] = true);
        while (!over[0]) {
            simulation.step();
        }
    }

    /** A database begins to drain: told to open watches at once, to the others when the rules say. */
    private void drain() {
        version++;
        long drain = version;
        for (Proxy p : proxies) {
            long silence = Math.max(p.silentAt + TOLD, p.heldUntil + TOLD_AFTER_HOLD);
            long told = p.silent ? silence : simulation.now() + (p.waits ? 0 : TOLD);
            simulation.at(told + GRACE, () -> check(p, drain));
            if (p.waits && !p.silent) {
                p.answer(p.call);
            }
        }
    }

    private void check(Proxy p, long drain) {
        if (p.version < drain) {
            late++;
            violation = violation != null
                    ? violation
                    : "proxy " + p.number + " has not heard of drain " + drain + " in time";
        }
    }

    /** One proxy's keeper, and its call as discovery sees it. */
    private final class Proxy implements EndpointWatch.Calls {
        final int number;
        final EndpointWatch keeper;
        long version = 41;
        long call;
        long from;
        boolean waits;
        boolean silent;
        long silentAt;
        long heldUntil;
        long answeredAt;

        Proxy(int number, long seed) {
            this.number = number;
            keeper = new EndpointWatch(version, seed, this);
        }

        void tell(Runnable event) {
            event.run();
            long due = keeper.nextTimerAt();
            if (due < Long.MAX_VALUE) {
                simulation.at(due + options.lateness(), () -> {
                    if (keeper.nextTimerAt() == due) {
                        tell(() -> keeper.onTimer(simulation.now()));
                    }
                });
            }
        }

        void fallSilent(long now) {
            silent = waits;
            silentAt = now;
        }

        @Override
        public void open(long opened, long since, long hold) {
            call = opened;
            from = since;
            calls++;
            simulation.after(TRIP, () -> arrive(opened, hold));
        }

        private void arrive(long mine, long hold) {
            if (mine != call) {
                return;
            }
            long now = simulation.now();
            tell(() -> keeper.onConnected(mine, now));
            boolean goesOn = now - answeredAt < GOES_ON;
            long wait = goesOn ? 0 : Math.max(0, busyUntil - now) + options.fleetTurn() / options.proxies();
            if (down || wait > TURN_MOST) {
                fail(mine);
                return;
            }
            busyUntil = goesOn ? busyUntil : now + wait;
            simulation.after(wait, () -> hold(mine, Math.max(0, hold - wait)));
        }

        private void hold(long mine, long rest) {
            if (mine == call && from < DrainSimulation.this.version) {
                answer(mine);
            } else if (mine == call) {
                waits = true;
                heldUntil = simulation.now() + rest;
                simulation.after(rest, () -> {
                    if (mine == call && waits && !silent) {
                        answer(mine);
                    }
                });
            }
        }

        void answer(long mine) {
            waits = false;
            answeredAt = simulation.now();
            long brings = DrainSimulation.this.version;
            simulation.after(
                    TRIP,
                    () -> tell(() -> {
                        if (keeper.onResponse(mine, brings, true, simulation.now())) {
                            version = brings;
                        }
                    }));
        }

        void fail(long mine) {
            waits = false;
            simulation.after(TRIP, () -> tell(() -> keeper.onFailure(mine, simulation.now())));
        }

        @Override
        public void end(long ended) {
            call = 0;
            waits = false;
            silent = false;
        }

        @Override
        public void detach(long ended) {
            end(ended);
        }
    }
}
