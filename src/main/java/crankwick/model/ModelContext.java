package crankwick.model;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** State shared by all parts of one group: current time, timers, random numbers and the receiver of effects. */
final class ModelContext {
    /** Timers with the same due time run in creation order, by sequence number. */
    private record Timer(long dueAt, long sequence, Runnable task) {}

    private final SplittableRandom random;
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long timersCreated;
    private long now;
    private Consumer<ModelEffect> effects;

    ModelContext(long seed, long now) {
        random = new SplittableRandom(seed);
        this.now = now;
    }

    /** Sets the current time and the receiver of effects for one event. */
    void beginEvent(long time, Consumer<ModelEffect> receiver) {
        now = time;
        effects = receiver;
    }

    /** The current time, in microseconds. */
    long now() {
        return now;
    }

    void emit(ModelEffect effect) {
        effects.accept(effect);
    }

    void schedule(long dueAt, Runnable task) {
        timers.add(new Timer(dueAt, timersCreated++, task));
    }

    void scheduleAfter(long delay, Runnable task) {
        schedule(now + delay, task);
    }

    void runDueTimers() {
        while (!timers.isEmpty() && timers.peek().dueAt <= now) {
            timers.poll().task.run();
        }
    }

    /** When the next timer is due, in microseconds; Long.MAX_VALUE for never. */
    long nextTimerDue() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt;
    }

    /** Draws a delay; a fixed delay consumes no random number. */
    long draw(DelayRange range) {
        long min = range.minMicros();
        long max = range.maxMicros();
        return min + (max > min ? random.nextLong(max - min) : 0);
    }

    /** Draws uniformly from [0, 1). */
    double drawUniform() {
        return random.nextDouble();
    }
}
