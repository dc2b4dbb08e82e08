package crankwick.client;

import java.util.concurrent.atomic.AtomicLong;

/** How many bytes of one kind the connections of a front may keep together; safe on any thread. */
final class ByteBudget {
    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** What a single connection may keep at most. */
    long maxOfOne() {
        return maxBytes / 2;
    }

    /** Reserves room, to be given back with {@link #release}; false if there is not enough. */
    boolean reserve(long bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    /** Reserves room whether or not it is there. */
    void force(long bytes) {
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
