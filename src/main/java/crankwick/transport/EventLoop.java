package crankwick.transport;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread on which state changes: tasks run in the order in which they are handed over, and timers fall due
 * on it.
 *
 * <p>{@link #close} is the end of it. A task handed over later is dropped, here and without an error: sockets go on
 * reporting until the transport is closed too, and by then nobody is left to hear of it.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A timer that is later than this counts as late. */
    private static final long LAG_LOG_THRESHOLD_NANOS = 30 * NANOS_PER_MILLI;
    /** Logging each late timer would add to the lag. */
    private static final long LAG_LOG_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    private final ScheduledThreadPoolExecutor executor;
    /** Both since lag was last logged, at {@link #lagLoggedAtNanos}. */
    private long maxLagNanos;

    private int lateTimers;
    private long lagLoggedAtNanos = System.nanoTime() - LAG_LOG_INTERVAL_NANOS;

    /** Starts the thread. */
    public EventLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    /** Runs a task on the loop, after those handed over before. */
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Runs a task on the loop after so many microseconds. */
    public Timer schedule(long micros, Runnable task) {
        long due = System.nanoTime() + micros * NANOS_PER_MICRO;
        var future = executor.schedule(
                guarded(() -> {
                    long now = System.nanoTime();
                    noteLag(now - due, now);
                    task.run();
                }),
                Math.max(0, micros),
                TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    private void noteLag(long lagNanos, long now) {
        if (lagNanos > LAG_LOG_THRESHOLD_NANOS) {
            lateTimers++;
            maxLagNanos = Math.max(maxLagNanos, lagNanos);
        }
        if (lateTimers > 0 && now - lagLoggedAtNanos >= LAG_LOG_INTERVAL_NANOS) {
            LOG.warn("event loop up to {} ms late, {} late timers", maxLagNanos / NANOS_PER_MILLI, lateTimers);
            lateTimers = 0;
            maxLagNanos = 0;
            lagLoggedAtNanos = now;
        }
    }

    /** A fault in one task must not stop the loop: every other request still needs its reply. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("event loop task failed", e);
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** A task that has not run yet. */
    public interface Timer {
        /** Drops the task, unless it has begun. */
        void cancel();
    }
}
