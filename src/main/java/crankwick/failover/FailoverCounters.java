package crankwick.failover;

/** What failovers have cost since the start. */
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

    /** Failovers of groups whose leader was known before. */
    public long failovers() {
        return failovers;
    }

    /** Buffered requests that were released to the router. */
    public long released() {
        return released;
    }

    /** The most requests that were buffered at once. */
    public int maxBuffered() {
        return maxBuffered;
    }

    /** One line for the operators. */
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
