package crankwick.simulation;

import java.util.PriorityQueue;

/** Simulated time: tasks run in the order of their times, and of their coming where those are the same. */
final class SimulatedClock {
    private record Task(long at, long number, Runnable work) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now;
    private long numbers;

    SimulatedClock(long start) {
        now = start;
    }

    /** The time, in microseconds. */
    long now() {
        return now;
    }

    void at(long time, Runnable work) {
        tasks.add(new Task(Math.max(now, time), numbers++, work));
    }

    void after(long span, Runnable work) {
        at(now + span, work);
    }

    /** Runs the next task; false if there is none. */
    boolean step() {
        Task task = tasks.poll();
        if (task == null) {
            return false;
        }
        now = task.at;
        task.work.run();
        return true;
    }
}
