package crankwick.model;

/**
 * How far a member has received and applied the log, as counts of entries from the log's beginning, and what
 * bounds the position that it reports.
 */
final class ReplicaProgress {
    private long received;
    private long applied;
    private long lastArrivalAt;
    private long lastApplyAt;
    private long reportedPosition;
    private long positionAtLeadershipLoss;

    ReplicaProgress(long position) {
        reportedPosition = position;
    }

    long received() {
        return received;
    }

    long applied() {
        return applied;
    }

    /** When an entry that is sent now arrives: not before those sent earlier. */
    long scheduleArrival(long earliest) {
        lastArrivalAt = Math.max(lastArrivalAt, earliest);
        return lastArrivalAt;
    }

    /** Takes an entry that has arrived; returns when the apply thread is done with it. */
    long receive(long entry, long now, long applyWork) {
        received = entry + 1;
        lastApplyAt = Math.max(lastApplyAt, now) + applyWork;
        return lastApplyAt;
    }

    void applyUpTo(long entries) {
        applied = Math.max(applied, entries);
    }

    /** Receives without delay; what is received is still to be applied. */
    void receiveUpTo(long entries) {
        received = entries;
    }

    /** Receives and applies without delay. */
    void catchUpTo(long entries) {
        received = entries;
        applied = entries;
    }

    /** Entries below this count have left the beginning of the log. */
    void skipTo(long entries) {
        received = Math.max(received, entries);
        applied = Math.max(applied, entries);
    }

    /** Entries from this count on have left the end of the log. */
    void rollBackTo(long entries) {
        applied = Math.min(applied, entries);
    }

    void loseLeadership(long now) {
        positionAtLeadershipLoss = now;
    }

    long positionAtLeadershipLoss() {
        return positionAtLeadershipLoss;
    }

    /** Reports the present, as only the leader does. */
    long reportNow(long now) {
        reportedPosition = now;
        return reportedPosition;
    }

    /** Reports a position, but nothing less than was reported before. */
    long report(long position) {
        reportedPosition = Math.max(reportedPosition, position);
        return reportedPosition;
    }
}
