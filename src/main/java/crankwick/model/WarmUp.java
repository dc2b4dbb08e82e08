package crankwick.model;

import java.util.ArrayDeque;

/** A member's capacity after its start, and whether it is sent more than that capacity bears. */
final class WarmUp {
    private record ReceivedWork(long at, double work) {}

    private final ModelSettings settings;
    private final ArrayDeque<ReceivedWork> window = new ArrayDeque<>();
    private double workInWindow;
    private long startedAt = Long.MIN_VALUE / 2;

    WarmUp(ModelSettings settings) {
        this.settings = settings;
    }

    /** When the member last started, in microseconds; far below 0 for long ago. */
    long startedAt() {
        return startedAt;
    }

    void restart(long now) {
        startedAt = now;
        window.clear();
        workInWindow = 0;
    }

    /** Share of the full capacity, up to 1. */
    double capacity(long now) {
        double share = Math.min(1, Math.max(0, (now - startedAt) / (double) settings.warmUpMicros()));
        return settings.initialCapacity() + (1 - settings.initialCapacity()) * share;
    }

    /** Counts work that a cold member is sent; true if that is more than it bears. */
    boolean isOverloadedBy(double work, long now) {
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
