package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.discovery.EndpointWatch;

/** One proxy's watch of the endpoint list, and its call as discovery sees it. */
final class WatchingProxy implements EndpointWatch.Calls {
    private static final long NETWORK_DELAY_MICROS = 2 * MILLIS;
    /** When a drain counts as known that silence, or discovery's turns, hold back. */
    private static final long KNOWN_AFTER_SILENCE_MICROS = 6 * SECONDS;

    private static final long KNOWN_AFTER_HOLD_MICROS = 2 * SECONDS;
    private static final long NO_CALL = 0;

    private final int number;
    private final SimulatedClock clock;
    private final PolledDiscovery discovery;
    private final long timerDelay;
    private final EndpointWatch watch;
    private long version;
    private long call;
    private long callFrom;
    /** The call is held by discovery; its connection has fallen silent. */
    private boolean held;

    private boolean silent;
    private long silentSince;
    private long heldUntil;
    private long answeredAt;

    /** A proxy that knows the present version; {@code timerDelay} is how late each of its timers is. */
    WatchingProxy(int number, SimulatedClock clock, PolledDiscovery discovery, long timerDelay, long seed) {
        this.number = number;
        this.clock = clock;
        this.discovery = discovery;
        this.timerDelay = timerDelay;
        version = discovery.version();
        watch = new EndpointWatch(version, seed, this);
    }

    int number() {
        return number;
    }

    /** The version of the endpoint list that it knows. */
    long version() {
        return version;
    }

    void start() {
        handle(() -> watch.start(clock.now()));
    }

    private void handle(Runnable event) {
        event.run();
        long dueAt = watch.nextTimerAt();
        if (dueAt < Long.MAX_VALUE) {
            clock.schedule(dueAt + timerDelay, () -> {
                if (watch.nextTimerAt() == dueAt) {
                    handle(() -> watch.onTimer(clock.now()));
                }
            });
        }
    }

    /** Nothing that discovery sends on a held call arrives from now on. */
    void fallSilent() {
        silent = held;
        silentSince = clock.now();
    }

    void resetHeldCall() {
        if (held) {
            fail(call);
        }
    }

    /** Discovery has a new version, which it sends on a held call. */
    void onPublished() {
        if (held && !silent) {
            answer(call);
        }
    }

    /** By when a drain that begins now counts as known here. */
    long drainKnownAt() {
        if (silent) {
            return Math.max(silentSince + KNOWN_AFTER_SILENCE_MICROS, heldUntil + KNOWN_AFTER_HOLD_MICROS);
        }
        return clock.now() + (held ? 0 : KNOWN_AFTER_SILENCE_MICROS);
    }

    @Override
    public void open(long opened, long from, long hold) {
        call = opened;
        callFrom = from;
        discovery.countCall();
        clock.scheduleAfter(NETWORK_DELAY_MICROS, () -> arrive(opened, hold));
    }

    private void arrive(long arrived, long hold) {
        if (arrived != call) {
            return;
        }
        long now = clock.now();
        handle(() -> watch.onConnected(arrived, now));
        long wait = discovery.admit(answeredAt);
        if (wait == PolledDiscovery.REJECTED) {
            fail(arrived);
        } else {
            clock.scheduleAfter(wait, () -> hold(arrived, Math.max(0, hold - wait)));
        }
    }

    private void hold(long admitted, long duration) {
        if (admitted != call) {
            return;
        }
        if (callFrom < discovery.version()) {
            answer(admitted);
            return;
        }
        held = true;
        heldUntil = clock.now() + duration;
        clock.scheduleAfter(duration, () -> {
            if (admitted == call && held && !silent) {
                answer(admitted);
            }
        });
    }

    private void answer(long answered) {
        held = false;
        answeredAt = clock.now();
        long sentVersion = discovery.version();
        clock.scheduleAfter(
                NETWORK_DELAY_MICROS,
                () -> handle(() -> {
                    if (watch.onResponse(answered, sentVersion, true, clock.now())) {
                        version = sentVersion;
                    }
                }));
    }

    private void fail(long failed) {
        held = false;
        clock.scheduleAfter(NETWORK_DELAY_MICROS, () -> handle(() -> watch.onFailure(failed, clock.now())));
    }

    @Override
    public void end(long ended) {
        call = NO_CALL;
        held = false;
        silent = false;
    }

    @Override
    public void detach(long left) {
        end(left);
    }
}
