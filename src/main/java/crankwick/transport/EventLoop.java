package crankwick.transport;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread on which the components that share this loop change their state. Tasks run in the order of
 * submission, and timers fire on the same thread.
 *
 * <p>Tasks submitted after {@link #close} are dropped without an error: sockets keep reporting events until the
 * transport is closed too, and no component handles those events any more.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long NANOS_PER_MICRO = 1_000;

    private final ScheduledThreadPoolExecutor executor;
    private final LagReporter lag = new LagReporter(
            EventLoop.class, "event loop up to {} ms late; {} timers fired over 30 ms late since the last report");

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

    /** Runs a task on the loop, after the tasks submitted earlier. */
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Runs a task on the loop after {@code delayMicros} microseconds, or at once if that is negative. */
    public Timer schedule(long delayMicros, Runnable task) {
        long dueNanos = System.nanoTime() + delayMicros * NANOS_PER_MICRO;
        var future = executor.schedule(
                guarded(() -> {
                    lag.record(dueNanos);
                    task.run();
                }),
                Math.max(0, delayMicros),
                TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    /**
     * Catches and logs the runtime exceptions of a task: a failed task must not stop the loop, as other requests still
     * need replies.
     */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("event loop task failed; continuing with the next task", e);
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** A scheduled task. */
    public interface Timer {
        /** Cancels the task unless it has started. */
        void cancel();
    }
}
