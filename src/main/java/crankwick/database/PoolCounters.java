package crankwick.database;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of a pool's connections and of the commands that it did not write; thread-safe. */
final class PoolCounters {
    private final AtomicLong opened = new AtomicLong();
    private final AtomicLong connectTimeouts = new AtomicLong();
    private final AtomicLong reassigned = new AtomicLong();
    private final AtomicLong[] notSent = new AtomicLong[SendDecision.values().length];

    PoolCounters() {
        for (int i = 0; i < notSent.length; i++) {
            notSent[i] = new AtomicLong();
        }
    }

    void countOpened() {
        opened.incrementAndGet();
    }

    /** A connection was not established, or not greeted, within the connect timeout. */
    void countConnectTimeout() {
        connectTimeouts.incrementAndGet();
    }

    /**
     * An unsent exchange moved to another connection because its connection closed or received invalid or unsolicited
     * input.
     */
    void countReassigned() {
        reassigned.incrementAndGet();
    }

    /** A command was not written to a database, for the given reason. */
    void countNotSent(SendDecision reason) {
        notSent[reason.ordinal()].incrementAndGet();
    }

    /** Formats the counters for the log. */
    @Override
    public String toString() {
        return "opened=" + opened + " connect_timeouts=" + connectTimeouts + " reassigned=" + reassigned
                + " not_sent_abandoned=" + notSent[SendDecision.ABANDONED.ordinal()]
                + " not_sent_unread_input=" + notSent[SendDecision.UNREAD_INPUT.ordinal()]
                + " not_sent_expired=" + notSent[SendDecision.EXPIRED.ordinal()];
    }
}
