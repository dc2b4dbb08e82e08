package crankwick.model;

import java.util.ArrayDeque;

/** A member's capacity during warm-up, and detection of overload while the member is warming up. */
final class WarmUp {
    private record ReceivedWork(long at, double work) {}

    private final ModelSettings settings;
    private final ArrayDeque<ReceivedWork> window = new ArrayDeque<>();
    private double workInWindow;
    private long startedAt = Long.MIN_VALUE / 2;

    WarmUp(ModelSettings settings) {
        this.settings = settings;
    }

    /** When the member last started, in microseconds; a large negative value if it has not restarted. */
    long startedAt() {
        return startedAt;
    }

    void restart(long now) {
        startedAt = now;
        window.clear();
        workInWindow = 0;
    }

    /** Capacity at the given time as a fraction of the full capacity, up to 1. */
    double capacity(long now) {
        double progress = Math.min(1, Math.max(0, (now - startedAt) / (double) settings.warmUpMicros()));
        return settings.initialCapacity() + (1 - settings.initialCapacity()) * progress;
    }

    /**
     * Records the mean work of a statement that a member receives while it is warming up; true if the work in the
     * sliding window exceeds the overload limit. Always false after the warm-up.
     */
    boolean recordWorkAndCheckOverload(double work, long now) {
        if (capacity(now) >= 1) {
            return false;
        }
        window.add(new ReceivedWork(now, work));
        workInWindow += work;
        while (window.peek().at < now - settings.overloadWindowMicros()) {
            workInWindow -= window.poll().work;
        }
        double limit = settings.overloadMultiple()
                * capacity(now)
                * settings.coresPerMember()
                * settings.overloadWindowMicros();
        return workInWindow > limit;
    }
}
