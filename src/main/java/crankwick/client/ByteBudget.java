package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** The bytes of one kind that the connections of a listener may hold together; thread-safe. */
final class ByteBudget {
    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The bytes that a single connection may hold. */
    long maxPerConnection() {
        return maxBytes / 2;
    }

    /** Reserves bytes, to be given back with {@link #release}; false if they exceed the budget. */
    boolean reserve(long bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    /** Reserves bytes even if they exceed the budget. */
    void reserveUnchecked(long bytes) {
        reserved.addAndGet(bytes);
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }

    /** Bytes that are reserved now. */
    long reserved() {
        return reserved.get();
    }
}
