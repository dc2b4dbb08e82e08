package crankwick.client;

import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counters of a listener's client connections since startup; thread-safe. */
final class ClientCounters {
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong closedUnanswered = new AtomicLong();
    private final AtomicLong droppedReplies = new AtomicLong();
    private final AtomicLong protocolErrors = new AtomicLong();
    private final AtomicLong overLimitCommands = new AtomicLong();
    private final AtomicLong readPauses = new AtomicLong();
    private final AtomicLong maxReadPauseMillis = new AtomicLong();
    private final AtomicLong maxTurnWaitMillis = new AtomicLong();
    private final AtomicLong maxWindowWaitMillis = new AtomicLong();
    /** The number of closed connections by reason. */
    private final AtomicLongArray closes = new AtomicLongArray(CloseReason.values().length);

    void countAccepted() {
        accepted.incrementAndGet();
    }

    /** A connection was rejected with the error "too many connections". */
    void countRejected() {
        rejected.incrementAndGet();
    }

    /** A connection closed while commands were still queued for their replies. */
    void countClosedUnanswered() {
        closedUnanswered.incrementAndGet();
    }

    /** A read's reply was replaced by a rejection because its value exceeded the reply budget. */
    void countDroppedReply() {
        droppedReplies.incrementAndGet();
    }

    void countProtocolError() {
        protocolErrors.incrementAndGet();
    }

    /** A command was rejected because it exceeded the limits on open commands. */
    void countOverLimitCommand() {
        overLimitCommands.incrementAndGet();
    }

    /** Reading from a client resumed after a pause of {@code millis} milliseconds. */
    void countReadPause(long millis) {
        readPauses.incrementAndGet();
        maxReadPauseMillis.accumulateAndGet(millis, Math::max);
    }

    /** A session with unprocessed messages has waited {@code millis} milliseconds for its turn on the event loop. */
    void recordTurnWait(long millis) {
        maxTurnWaitMillis.accumulateAndGet(millis, Math::max);
    }

    /** A session's next request has waited {@code millis} milliseconds until other requests were finished. */
    void recordWindowWait(long millis) {
        maxWindowWaitMillis.accumulateAndGet(millis, Math::max);
    }

    void countClose(CloseReason reason) {
        closes.incrementAndGet(reason.ordinal());
    }

    private String closesByReason() {
        StringJoiner reasons = new StringJoiner(", ", "{", "}");
        for (CloseReason reason : CloseReason.values()) {
            if (closes.get(reason.ordinal()) > 0) {
                reasons.add(reason + "=" + closes.get(reason.ordinal()));
            }
        }
        return reasons.toString();
    }

    /** The counters as {@code name=value} pairs for a log line. */
    @Override
    public String toString() {
        return "accepted=" + accepted + " rejected_connections=" + rejected + " closed_unanswered=" + closedUnanswered
                + " protocol_errors=" + protocolErrors + " over_limit_commands=" + overLimitCommands
                + " dropped_replies=" + droppedReplies + " read_pauses=" + readPauses + " max_read_pause_ms="
                + maxReadPauseMillis + " max_turn_wait_ms=" + maxTurnWaitMillis + " max_window_wait_ms="
                + maxWindowWaitMillis + " closed=" + closesByReason();
    }
}
