package crankwick.failover;

import crankwick.routing.api.AttemptResult;

/**
 * How many requests that were released to a new leader may be open at once: the window grows by one with each
 * attempt that ends in time and shrinks by a factor with each that is late or rejected.
 */
final class ReleaseWindow {
    private static final double DECREASE_FACTOR = 0.7;
    /** An attempt that took longer than this share of the latency objective is late. */
    private static final double LATE_SHARE = 0.45;

    private double size;
    private int open;

    /** Starts anew for a new leader. */
    void reset(int initialSize) {
        size = initialSize;
        open = 0;
    }

    boolean hasCapacity() {
        return open < size;
    }

    void acquire() {
        open++;
    }

    void release() {
        open--;
    }

    /** Adapts the window to how an attempt of one of its requests went. */
    void onAttemptEnded(AttemptResult result, long duration, long latencyObjective) {
        boolean late = result == AttemptResult.REJECTED_OVERLOADED || duration > LATE_SHARE * latencyObjective;
        size = late ? Math.max(1, size * DECREASE_FACTOR) : size + 1;
    }
}
