package crankwick.failover;

/** What changes of primaries have cost since the start. */
public final class FailoverCounters {
    long changes;
    long held;
    int maxBuffered;
    long released;
    long hopeless;
    long overBounds;
    long withdrawn;
    long windowsOver;
    long retriesFailed;

    /** Changes of a leader that was known before. */
    public long changes() {
        return changes;
    }

    /** Held requests that were let go to the router. */
    public long released() {
        return released;
    }

    /** The most requests that were held at once. */
    public int maxBuffered() {
        return maxBuffered;
    }

    /** One line for the operators. */
    @Override
    public String toString() {
        return "changes=" + changes + " held=" + held + " held_max=" + maxBuffered + " released=" + released
                + " hopeless=" + hopeless + " over_bounds=" + overBounds + " withdrawn=" + withdrawn
                + " windows_over=" + windowsOver + " retries_failed=" + retriesFailed;
    }
}
