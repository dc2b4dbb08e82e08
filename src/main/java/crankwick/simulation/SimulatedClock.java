package crankwick.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: tasks run in the order of their due times; tasks with equal times run in scheduling order. */
final class SimulatedClock {
    private record Task(long dueAt, long sequence, Runnable work) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueAt).thenComparingLong(Task::sequence));
    private long now;
    private long scheduled;

    SimulatedClock(long start) {
        now = start;
    }

    /** The current time in microseconds. */
    long now() {
        return now;
    }

    void schedule(long time, Runnable work) {
        tasks.add(new Task(Math.max(now, time), scheduled++, work));
    }

    void scheduleAfter(long delay, Runnable work) {
        schedule(now + delay, work);
    }

    /** Runs the next task; returns false if there is none. */
    boolean runNext() {
        Task task = tasks.poll();
        if (task == null) {
            return false;
        }
        now = task.dueAt;
        task.work.run();
        return true;
    }
}
