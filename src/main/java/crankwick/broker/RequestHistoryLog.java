package crankwick.broker;

/** Limits the rate at which request histories are logged, and counts the omitted ones. */
final class RequestHistoryLog {
    private static final long WINDOW_MICROS = 1_000_000;
    private static final int MAX_LINES_PER_WINDOW = 20;

    private long windowStart;
    private int linesInWindow;
    private long omittedLines;

    /** The log line for a finished request; null if the request need not be logged or the rate limit is exceeded. */
    String logLineFor(RequestHistory history, long now) {
        if (!history.shouldLog()) {
            return null;
        }
        if (now - windowStart >= WINDOW_MICROS) {
            windowStart = now;
            linesInWindow = 0;
        }
        if (linesInWindow >= MAX_LINES_PER_WINDOW) {
            omittedLines++;
            return null;
        }
        linesInWindow++;
        String line = omittedLines == 0 ? history.toLogLine() : history.toLogLine() + " omitted_before=" + omittedLines;
        omittedLines = 0;
        return line;
    }
}
