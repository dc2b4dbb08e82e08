package crankwick.database;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of a pool's connections and of commands that it did not write; safe on any thread. */
final class PoolCounters {
    private final AtomicLong opened = new AtomicLong();
    private final AtomicLong connectTimeouts = new AtomicLong();
    private final AtomicLong reassigned = new AtomicLong();
    private final AtomicLong[] notSent = new AtomicLong[BeginDecision.values().length];

    PoolCounters() {
        for (int i = 0; i < notSent.length; i++) {
            notSent[i] = new AtomicLong();
        }
    }

    void countOpened() {
        opened.incrementAndGet();
    }

    /** A connection was not up, or not greeted, in time. */
    void countConnectTimeout() {
        connectTimeouts.incrementAndGet();
    }

    /** A command goes to another connection, as its own ended before the first byte. */
    void countReassigned() {
        reassigned.incrementAndGet();
    }

    /** A command was not written. */
    void countNotSent(BeginDecision reason) {
        notSent[reason.ordinal()].incrementAndGet();
    }

    /** For the line of counters. */
    @Override
    public String toString() {
        return "opened=" + opened + " connect_timeouts=" + connectTimeouts + " reassigned=" + reassigned
                + " not_sent_abandoned=" + notSent[BeginDecision.ABANDONED.ordinal()]
                + " not_sent_expired=" + notSent[BeginDecision.EXPIRED.ordinal()];
    }
}
