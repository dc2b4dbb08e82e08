package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of a listener's client connections since its start; safe on any thread. */
final class ClientCounters {
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong closedUnanswered = new AtomicLong();
    private final AtomicLong droppedReplies = new AtomicLong();
    private final AtomicLong protocolErrors = new AtomicLong();
    private final AtomicLong overLimitCommands = new AtomicLong();
    private final AtomicLong readPauses = new AtomicLong();
    private final AtomicLong maxReadPauseMillis = new AtomicLong();

    void countAccepted() {
        accepted.incrementAndGet();
    }

    /** A client was told that there are too many connections. */
    void countRejected() {
        rejected.incrementAndGet();
    }

    /** A connection ended with commands not answered. */
    void countClosedUnanswered() {
        closedUnanswered.incrementAndGet();
    }

    /** There was no memory for a read's reply. */
    void countDroppedReply() {
        droppedReplies.incrementAndGet();
    }

    void countProtocolError() {
        protocolErrors.incrementAndGet();
    }

    /** A command is beyond what a client may have open, and rejected in its place. */
    void countOverLimitCommand() {
        overLimitCommands.incrementAndGet();
    }

    /** Reading from a client was paused for so long. */
    void countReadPause(long millis) {
        readPauses.incrementAndGet();
        maxReadPauseMillis.accumulateAndGet(millis, Math::max);
    }

    /** For the line of counters. */
    @Override
    public String toString() {
        return "accepted=" + accepted + " rejected_connections=" + rejected + " closed_unanswered=" + closedUnanswered
                + " protocol_errors=" + protocolErrors + " over_limit_commands=" + overLimitCommands
                + " dropped_replies=" + droppedReplies + " read_pauses=" + readPauses + " max_read_pause_ms="
                + maxReadPauseMillis;
    }
}
