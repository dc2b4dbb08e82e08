package crankwick.failover;

import crankwick.routing.api.AttemptResult;

/**
 * Limits how many requests released to a new leader may be open at the same time. The window grows by one with each
 * attempt that ends in time, whatever its other result, and shrinks by a factor with each attempt that is late or
 * rejected as overloaded.
 */
final class ReleaseWindow {
    private static final double DECREASE_FACTOR = 0.7;
    /** An attempt that takes longer than this fraction of the latency objective counts as late. */
    private static final double LATE_FRACTION = 0.45;

    private double size;
    private int openRequests;

    /** Resets the window for a new leader; requests released in earlier terms are no longer counted. */
    void reset(int initialSize) {
        size = initialSize;
        openRequests = 0;
    }

    boolean hasCapacity() {
        return openRequests < size;
    }

    void acquire() {
        openRequests++;
    }

    void release() {
        openRequests--;
    }

    /** Adjusts the window by the result and duration of an attempt of a request counted in it. */
    void onAttemptEnded(AttemptResult result, long duration, long latencyObjective) {
        boolean late = result == AttemptResult.REJECTED_OVERLOADED || duration > LATE_FRACTION * latencyObjective;
        size = late ? Math.max(1, size * DECREASE_FACTOR) : size + 1;
    }
}
