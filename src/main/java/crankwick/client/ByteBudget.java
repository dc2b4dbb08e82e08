package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of one kind that a listener's connections retain in total; thread-safe. */
final class ByteBudget {
    private static final int FREE_BYTES_DIVISOR = 4;
    private static final int GRANTED_BYTES_DIVISOR = 1_024;

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

    /**
     * Reserves bytes like {@link #reserve}, but only if the connection, which has reserved {@code ownBytes} before,
     * then has no more than its share of what is left for the others. A small part of the budget is granted to each
     * connection in any case, so that those that hold much do not lock others out.
     */
    boolean reserveFairShare(long bytes, long ownBytes) {
        long free = maxBytes - reserved.addAndGet(bytes);
        if (ownBytes + bytes <= Math.max(free / FREE_BYTES_DIVISOR, maxBytes / GRANTED_BYTES_DIVISOR)) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    /** The bytes that are left; negative if the budget is exceeded. */
    long free() {
        return maxBytes - reserved.get();
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
