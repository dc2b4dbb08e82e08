package crankwick.model;

/**
 * How far a member has received and applied the log, as numbers of entries since the start of the log, and the
 * replication position that the member reported last.
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

    /**
     * Returns the arrival time of an entry that is sent now: {@code earliest}, or the arrival time of the entry sent
     * before if that is later, as entries arrive in the order in which they were sent.
     */
    long scheduleArrival(long earliest) {
        lastArrivalAt = Math.max(lastArrivalAt, earliest);
        return lastArrivalAt;
    }

    /** Marks an entry as received; returns the time at which the apply thread will have applied it. */
    long receive(long entry, long now, long applyWork) {
        received = entry + 1;
        lastApplyAt = Math.max(lastApplyAt, now) + applyWork;
        return lastApplyAt;
    }

    void applyUpTo(long entries) {
        applied = Math.max(applied, entries);
    }

    /** Sets the number of received entries, which may decrease; the number of applied ones does not change. */
    void receiveUpTo(long entries) {
        received = entries;
    }

    /** Sets the number of received and of applied entries. */
    void catchUpTo(long entries) {
        received = entries;
        applied = entries;
    }

    /** Advances past entries that were trimmed from the start of the log. */
    void skipTo(long entries) {
        received = Math.max(received, entries);
        applied = Math.max(applied, entries);
    }

    /** Limits the number of applied entries to those that remain after a rollback. */
    void rollBackTo(long entries) {
        applied = Math.min(applied, entries);
    }

    void recordLeadershipLoss(long now) {
        positionAtLeadershipLoss = now;
    }

    long positionAtLeadershipLoss() {
        return positionAtLeadershipLoss;
    }

    /** Records the current time as the reported position and returns it; only for the leader. */
    long reportNow(long now) {
        reportedPosition = now;
        return reportedPosition;
    }

    /**
     * Records the given position, or the one reported before if that is later, as the reported position and returns it.
     */
    long report(long position) {
        reportedPosition = Math.max(reportedPosition, position);
        return reportedPosition;
    }
}
