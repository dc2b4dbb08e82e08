package crankwick.failover;

/** Counts failovers and their effects on requests since the failover coordinator was created. */
public final class FailoverCounters {
    long failovers;
    long buffered;
    int maxBuffered;
    long released;
    long recoveryUnlikely;
    long limitExceeded;
    long attemptsCancelled;
    long keyWindowsExpired;
    long retriesFailed;

    /** Returns the number of failovers; the first leader of a group does not count as one. */
    public long failovers() {
        return failovers;
    }

    /** Returns the number of buffered requests that were released to the router. */
    public long released() {
        return released;
    }

    /** Returns the maximum number of requests that were buffered at the same time. */
    public int maxBuffered() {
        return maxBuffered;
    }

    /** Returns all counters as one log line. */
    @Override
    public String toString() {
        return "failovers=" + failovers
                + " buffered=" + buffered
                + " buffered_max=" + maxBuffered
                + " released=" + released
                + " recovery_unlikely=" + recoveryUnlikely
                + " limit_exceeded=" + limitExceeded
                + " attempts_cancelled=" + attemptsCancelled
                + " key_windows_expired=" + keyWindowsExpired
                + " retries_failed=" + retriesFailed;
    }
}
