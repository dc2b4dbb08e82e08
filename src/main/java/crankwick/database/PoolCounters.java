package crankwick.database;

import java.util.concurrent.atomic.AtomicLong;

/** What a pool has counted of its connections and of commands that it did not write; safe on any thread. */
final class PoolCounters {
    final AtomicLong opened = new AtomicLong();
    /** Not up or not greeted in time. */
    final AtomicLong notUpInTime = new AtomicLong();
    /** Commands moved to another connection, as theirs ended before the first byte. */
    final AtomicLong moved = new AtomicLong();

    private final AtomicLong[] withheld = new AtomicLong[BeginDecision.values().length];

    PoolCounters() {
        for (int i = 0; i < withheld.length; i++) {
            withheld[i] = new AtomicLong();
        }
    }

    void countWithheld(BeginDecision decision) {
        withheld[decision.ordinal()].incrementAndGet();
    }

    /** For the line of counters. */
    @Override
    public String toString() {
        return "opened=" + opened + " not_up_in_time=" + notUpInTime + " moved=" + moved + " withheld_client_gone="
                + withheld[BeginDecision.CLIENT_GONE.ordinal()] + " withheld_too_late="
                + withheld[BeginDecision.TOO_LATE.ordinal()];
    }
}
