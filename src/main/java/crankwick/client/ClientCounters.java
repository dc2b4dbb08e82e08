package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** What a front has counted of its client connections since its start; safe on any thread. */
final class ClientCounters {
    final AtomicLong accepted = new AtomicLong();
    /** Told that there are too many connections. */
    final AtomicLong turnedAway = new AtomicLong();
    /** Connections that ended with commands not answered. */
    final AtomicLong closedWhileOwed = new AtomicLong();

    /** Answers to reads for which there was no room. */
    final AtomicLong droppedAnswers = new AtomicLong();

    final AtomicLong protocolErrors = new AtomicLong();
    /** Commands beyond what a client may have open, refused in their places. */
    final AtomicLong excessCommands = new AtomicLong();
    /** How often reading from a client was paused, and for how long at most. */
    final AtomicLong readPauses = new AtomicLong();

    final AtomicLong longestReadPauseMs = new AtomicLong();

    void countReadPause(long millis) {
        readPauses.incrementAndGet();
        longestReadPauseMs.accumulateAndGet(millis, Math::max);
    }

    /** For the line of counters. */
    @Override
    public String toString() {
        return "accepted=" + accepted + " turned_away=" + turnedAway + " closed_while_owed=" + closedWhileOwed
                + " protocol_errors=" + protocolErrors + " excess_commands=" + excessCommands
                + " dropped_answers=" + droppedAnswers + " read_pauses="
                + readPauses + " longest_read_pause_ms="
                + longestReadPauseMs;
    }
}
