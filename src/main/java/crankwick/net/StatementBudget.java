package crankwick.net;

import java.util.concurrent.atomic.AtomicLong;

/** How many bytes the statements of a front's unanswered commands may take together; safe on any thread. */
final class StatementBudget {
    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    StatementBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves room, to be given back with {@link #release}; false if there is not enough. */
    boolean reserve(long bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }

    /** Bytes that are reserved now. */
    long reserved() {
        return reserved.get();
    }
}
