package crankwick.broker;

/** Limits how many lines of one kind are logged in a second, and counts the omitted ones. */
public final class LogRateLimit {
    private static final long WINDOW_MICROS = 1_000_000;
    private static final int MAX_LINES_PER_WINDOW = 20;

    private long windowStart;
    private int linesInWindow;
    private long omittedLines;

    /**
     * Whether a line may be logged at {@code now}, in microseconds; if not, it counts as omitted. The caller appends
     * {@link #takeOmitted} to a line that may be logged.
     */
    public boolean tryAcquire(long now) {
        if (now - windowStart >= WINDOW_MICROS) {
            windowStart = now;
            linesInWindow = 0;
        }
        boolean allowed = linesInWindow < MAX_LINES_PER_WINDOW;
        linesInWindow += allowed ? 1 : 0;
        omittedLines += allowed ? 0 : 1;
        return allowed;
    }

    /** The end of a log line that states how many lines were omitted before it; empty if none were. */
    public String takeOmitted() {
        String text = omittedLines == 0 ? "" : " omitted_before=" + omittedLines;
        omittedLines = 0;
        return text;
    }
}
