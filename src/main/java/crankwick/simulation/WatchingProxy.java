package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.discovery.EndpointWatch;

/** One proxy's watch of the endpoint list, and the state of its current call at discovery. */
final class WatchingProxy implements EndpointWatch.Calls {
    private static final long NETWORK_DELAY_MICROS = 2 * MILLIS;
    /**
     * A drain takes effect this long after a pending long poll stalled, or after the drain started if no long poll is
     * pending; for a stalled one, no earlier than {@link #EFFECTIVE_AFTER_POLL_TIMEOUT_MICROS} after its timeout. See
     * {@link EndpointWatch}.
     */
    private static final long EFFECTIVE_AFTER_STALL_MICROS = 6 * SECONDS;

    private static final long EFFECTIVE_AFTER_POLL_TIMEOUT_MICROS = 2 * SECONDS;
    private static final long NO_CALL = 0;

    private final int number;
    private final SimulatedClock clock;
    private final PolledDiscovery discovery;
    private final long timerDelay;
    private final EndpointWatch watch;
    private long version;
    private long currentCall;
    private long currentFromVersion;
    /** Whether discovery holds the current call as a long poll. */
    private boolean pollPending;
    /** Whether the connection of the pending long poll no longer delivers data, without being closed. */
    private boolean stalled;

    private long stalledSince;
    private long pollTimeoutAt;
    private long lastResponseAt;

    /** Creates a proxy with the current version of the list; each of its timers fires late by {@code timerDelay}. */
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

    /** The version of the endpoint list that the proxy has received. */
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

    /** Stalls the connection of a pending long poll, if there is one: no response arrives on it from now on. */
    void stallConnection() {
        stalled = pollPending;
        stalledSince = clock.now();
    }

    void resetPendingPoll() {
        if (pollPending) {
            fail(currentCall);
        }
    }

    /** Discovery has published a new version, which it sends in response to a pending long poll that is not stalled. */
    void onVersionPublished() {
        if (pollPending && !stalled) {
            respond(currentCall);
        }
    }

    /** When a drain that starts now takes effect for this proxy. */
    long drainEffectiveAt() {
        if (stalled) {
            return Math.max(
                    stalledSince + EFFECTIVE_AFTER_STALL_MICROS, pollTimeoutAt + EFFECTIVE_AFTER_POLL_TIMEOUT_MICROS);
        }
        return clock.now() + (pollPending ? 0 : EFFECTIVE_AFTER_STALL_MICROS);
    }

    @Override
    public void open(long call, long fromVersion, long longPollTimeout) {
        currentCall = call;
        currentFromVersion = fromVersion;
        discovery.countCall();
        clock.scheduleAfter(NETWORK_DELAY_MICROS, () -> onCallReceived(call, longPollTimeout));
    }

    private void onCallReceived(long call, long longPollTimeout) {
        if (call != currentCall) {
            return;
        }
        long now = clock.now();
        handle(() -> watch.onConnected(call, now));
        long queueDelay = discovery.admit(lastResponseAt);
        if (queueDelay == PolledDiscovery.REJECTED) {
            fail(call);
        } else {
            clock.scheduleAfter(queueDelay, () -> startPoll(call, Math.max(0, longPollTimeout - queueDelay)));
        }
    }

    private void startPoll(long call, long duration) {
        if (call != currentCall) {
            return;
        }
        if (currentFromVersion < discovery.version()) {
            respond(call);
            return;
        }
        pollPending = true;
        pollTimeoutAt = clock.now() + duration;
        clock.scheduleAfter(duration, () -> {
            if (call == currentCall && pollPending && !stalled) {
                respond(call);
            }
        });
    }

    private void respond(long call) {
        pollPending = false;
        lastResponseAt = clock.now();
        long responseVersion = discovery.version();
        clock.scheduleAfter(
                NETWORK_DELAY_MICROS,
                () -> handle(() -> {
                    if (watch.onResponse(call, responseVersion, true, clock.now())) {
                        version = responseVersion;
                    }
                }));
    }

    private void fail(long call) {
        pollPending = false;
        clock.scheduleAfter(NETWORK_DELAY_MICROS, () -> handle(() -> watch.onFailure(call, clock.now())));
    }

    @Override
    public void end(long call) {
        currentCall = NO_CALL;
        pollPending = false;
        stalled = false;
    }

    @Override
    public void detach(long call) {
        end(call);
    }
}
