package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

/** Discovery as a fleet polls it: it takes callers in turn, rejects those that would wait long, and can be down. */
final class PolledDiscovery {
    private static final long MAX_WAIT_MICROS = 2 * SECONDS;
    /** A call that comes so soon after an answer resumes its watch, and waits for no turn. */
    private static final long RESUME_WINDOW_MICROS = 200 * MILLIS;
    /** The wait of a call that is rejected. */
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

    /** The version of the endpoint list. */
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

    /** How long a call waits for its turn, in microseconds, where its watch was last answered at some time. */
    long admit(long lastAnsweredAt) {
        long now = clock.now();
        boolean resumes = now - lastAnsweredAt < RESUME_WINDOW_MICROS;
        long wait = resumes ? 0 : Math.max(0, busyUntil - now) + microsPerCall;
        if (down || wait > MAX_WAIT_MICROS) {
            return REJECTED;
        }
        busyUntil = resumes ? busyUntil : now + wait;
        return wait;
    }
}
