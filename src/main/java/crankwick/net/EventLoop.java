package crankwick.net;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread on which state changes: what is handed over runs in turn, and timers fall due on it. */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private final ScheduledThreadPoolExecutor executor;

    /** Starts the thread. */
    public EventLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Runs a task on the loop, after those handed over before. */
    public void execute(Runnable task) {
        executor.execute(guarded(task));
    }

    /** Runs a task on the loop after so many microseconds. */
    public Timer after(long micros, Runnable task) {
        var future = executor.schedule(guarded(task), Math.max(0, micros), TimeUnit.MICROSECONDS);
        return () -> future.cancel(false);
    }

    /** A fault in one task must not stop the loop: every other request still needs its answer. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a task failed", e);
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /** A task that has not run yet. */
    public interface Timer {
        /** Forgets the task, unless it has begun. */
        void cancel();
    }
}
