package crankwick.transport;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread on which state changes: what is handed over runs in turn, and timers fall due on it. */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    private static final long WORTH_A_WORD = 30_000_000;
    private static final long WORD_EVERY = 1_000_000_000;

    private final ScheduledThreadPoolExecutor executor;
    /** Since the last word about lateness: the worst, and how many timers were; and when that word was. */
    private long worstLag;

    private int lateTimers;
    private long wordAt = System.nanoTime() - WORD_EVERY;

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
        long due = System.nanoTime() + micros * 1_000;
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

    /** Late timers eat into the slack that answers have at their deadline; a word for each adds to that. */
    private void noteLag(long nanos, long now) {
        if (nanos > WORTH_A_WORD) {
            lateTimers++;
            worstLag = Math.max(worstLag, nanos);
        }
        if (lateTimers > 0 && now - wordAt >= WORD_EVERY) {
            LOG.warn("the loop is up to {} ms late, {} timers since the last word", worstLag / 1_000_000, lateTimers);
            lateTimers = 0;
            worstLag = 0;
            wordAt = now;
        }
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
