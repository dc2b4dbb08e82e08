package crankwick.transport;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs how late the tasks of one thread run, at most once a second. Confined to that thread. */
final class LagReporter {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A task that runs later than this after its due time counts as late. */
    private static final long LAG_LOG_THRESHOLD_NANOS = 30 * NANOS_PER_MILLI;
    /** The minimum time between two log lines, because logging each late task would add to the lag. */
    private static final long LAG_LOG_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    private final Logger log;
    private final String message;
    /** The largest lag since the last log line; reset together with {@link #lateTasks} when the lag is logged. */
    private long maxLagNanos;

    private int lateTasks;
    private long loggedAtNanos = System.nanoTime() - LAG_LOG_INTERVAL_NANOS;

    /** The message has two placeholders: the largest lag in milliseconds, and the number of late tasks. */
    LagReporter(Class<?> owner, String message) {
        log = LoggerFactory.getLogger(owner);
        this.message = message;
    }

    /** Records a task that was due at {@code dueNanos}, by {@link System#nanoTime}, and runs now. */
    void record(long dueNanos) {
        long nowNanos = System.nanoTime();
        long lagNanos = nowNanos - dueNanos;
        if (lagNanos > LAG_LOG_THRESHOLD_NANOS) {
            lateTasks++;
            maxLagNanos = Math.max(maxLagNanos, lagNanos);
        }
        if (lateTasks > 0 && nowNanos - loggedAtNanos >= LAG_LOG_INTERVAL_NANOS) {
            log.warn(message, maxLagNanos / NANOS_PER_MILLI, lateTasks);
            lateTasks = 0;
            maxLagNanos = 0;
            loggedAtNanos = nowNanos;
        }
    }
}
