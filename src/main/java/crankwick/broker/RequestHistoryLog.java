package crankwick.broker;

/** Limits the rate at which request histories are logged, and counts the omitted ones. */
final class RequestHistoryLog {
    private final LogRateLimit rateLimit = new LogRateLimit();

    /** The log line for a finished request; null if the request need not be logged or the rate limit is exceeded. */
    String logLineFor(RequestHistory history, long now) {
        if (!history.shouldLog() || !rateLimit.tryAcquire(now)) {
            return null;
        }
        return history.toLogLine() + rateLimit.takeOmitted();
    }
}
