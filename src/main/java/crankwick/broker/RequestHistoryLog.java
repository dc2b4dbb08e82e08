package crankwick.broker;

/** Logs the histories of notable requests at a limited rate; counts those that it omits. */
final class RequestHistoryLog {
    private static final long WINDOW_MICROS = 1_000_000;
    private static final int LINES_PER_WINDOW = 20;

    private long windowStart;
    private int lines;
    private long omitted;

    /** The line for a finished request; null where there is none. */
    String lineFor(RequestHistory history, long now) {
        if (!history.isNotable()) {
            return null;
        }
        if (now - windowStart >= WINDOW_MICROS) {
            windowStart = now;
            lines = 0;
        }
        if (lines >= LINES_PER_WINDOW) {
            omitted++;
            return null;
        }
        lines++;
        String line = omitted == 0 ? history.line() : history.line() + " omitted_before=" + omitted;
        omitted = 0;
        return line;
    }
}
