package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

/** Discovery for a polling fleet: queues calls, rejects a call that would wait too long, and can be unavailable. */
final class PolledDiscovery {
    private static final long MAX_QUEUE_DELAY_MICROS = 2 * SECONDS;
    /**
     * A call that arrives within this time of the last response to the same proxy resumes its watch and skips the
     * queue.
     */
    private static final long RESUME_WINDOW_MICROS = 200 * MILLIS;
    /** Returned by {@link #admit} for a rejected call. */
    static final long REJECTED = -1;

    private final SimulatedClock clock;
    private final long microsPerCall;
    private long version;
    private long busyUntil;
    private boolean down;
    private long calls;

    PolledDiscovery(SimulatedClock clock, long microsPerCall, long version) {
        this.clock = clock;
        this.microsPerCall = microsPerCall;
        this.version = version;
    }

    /** The current version of the endpoint list. */
    long version() {
        return version;
    }

    void publishNextVersion() {
        version++;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void countCall() {
        calls++;
    }

    long calls() {
        return calls;
    }

    /**
     * Admits a call of a proxy that received its last response at the given time. Returns the queueing delay in
     * microseconds, or {@link #REJECTED} if discovery is down or the delay would be more than 2 s.
     */
    long admit(long lastResponseAt) {
        long now = clock.now();
        boolean resumes = now - lastResponseAt < RESUME_WINDOW_MICROS;
        long queueDelay = resumes ? 0 : Math.max(0, busyUntil - now) + microsPerCall;
        if (down || queueDelay > MAX_QUEUE_DELAY_MICROS) {
            return REJECTED;
        }
        busyUntil = resumes ? busyUntil : now + queueDelay;
        return queueDelay;
    }
}
