package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of one kind that a listener's connections retain in total; thread-safe. */
final class ByteBudget {
    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * The maximum number of bytes that a single connection may reserve: half of the budget. The caller checks this
     * limit; {@link #reserve} does not.
     */
    long maxPerConnection() {
        return maxBytes / 2;
    }

    /**
     * Reserves bytes until {@link #release}; returns false and reserves nothing if the total would exceed the budget.
     */
    boolean reserve(long bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    /** Reserves bytes until {@link #release}, even if the total then exceeds the budget. */
    void reserveUnchecked(long bytes) {
        reserved.addAndGet(bytes);
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }

    /** The bytes currently reserved. */
    long reserved() {
        return reserved.get();
    }
}
