package crankwick.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/**
 * Shares the memory for messages that have not arrived whole among the connections of a codec. Each connection may hold
 * a small message; for a larger one it reserves all the bytes that the message needs, or waits, unread, in the order of
 * the requests. While others wait, a connection whose peer keeps the proxy waiting for the rest of its message is
 * rejected, so that no wait is longer than it takes to find that out for those that were first. Thread-safe.
 */
final class InputMemory {
    /** What each connection may hold without a reservation: as much as one read returns. */
    static final int UNRESERVED_BYTES = Transport.READ_BUFFER_BYTES;

    private static final long CHECK_INTERVAL_MICROS = 5_000;
    /**
     * A message that is still incomplete at this many checks, each with all of its peer's input read, makes room. A
     * peer that has sent it whole is never found so, however late the proxy's threads are.
     */
    private static final int MAX_CHECKS_WITHOUT_INPUT = 4;

    /** What the memory needs to know of, and to do with, connections. */
    interface Connections {
        /** True if all that the peer has sent is read, and reading is not paused. */
        boolean isReadToEnd(Connection<?> connection);

        /** Pauses reading until memory is free, or resumes it. */
        void setAwaitingMemory(Connection<?> connection, boolean isAwaiting);

        /** Drops a connection's incomplete message, which releases its share, and reports a protocol error. */
        void reject(Connection<?> connection);
    }

    /** The memory that one connection has reserved or waits for. */
    static final class Share {
        private final Connection<?> connection;
        private long bytes;
        private long awaitedBytes;
        private long awaitedSinceNanos;
        private int checksWithoutInput;
        private boolean closed;

        Share(Connection<?> connection) {
            this.connection = connection;
        }
    }

    private final long maxBytes;
    private final Connections connections;
    private final Set<Share> holders = new LinkedHashSet<>();
    private final Queue<Share> waiting = new ArrayDeque<>();
    private EventLoop loop;
    private boolean checkScheduled;
    private long reservedBytes;
    private long maxWaitNanos;
    private long rejections;

    InputMemory(long maxBytes, Connections connections) {
        this.maxBytes = maxBytes;
        this.connections = connections;
    }

    /** Sets the loop that times the checks; without one nothing waits and the memory is not limited. */
    synchronized void useTimersOf(EventLoop eventLoop) {
        loop = eventLoop;
    }

    /**
     * Reserves the bytes of a connection's incomplete message, in place of those reserved before. If too few are free,
     * reading from the connection pauses until they are reserved. Called on the selector thread.
     */
    void reserve(Share share, long bytes) {
        if (!tryReserve(share, bytes)) {
            connections.setAwaitingMemory(share.connection, true);
        }
    }

    private synchronized boolean tryReserve(Share share, long bytes) {
        if (loop == null || share.closed || bytes <= share.bytes) {
            return true;
        }
        if (share.awaitedBytes == 0 && waiting.isEmpty() && fits(bytes - share.bytes)) {
            grant(share, bytes);
            return true;
        }
        if (share.awaitedBytes == 0) {
            share.awaitedSinceNanos = System.nanoTime();
            waiting.add(share);
        }
        share.awaitedBytes = bytes;
        scheduleCheck();
        return false;
    }

    private boolean fits(long bytes) {
        return reservedBytes + bytes <= maxBytes || holders.isEmpty();
    }

    private void grant(Share share, long bytes) {
        reservedBytes += bytes - share.bytes;
        share.bytes = bytes;
        share.awaitedBytes = 0;
        share.checksWithoutInput = 0;
        holders.add(share);
    }

    /** Releases what a connection has reserved, or no longer waits for. */
    synchronized void release(Share share) {
        if (share.bytes == 0 && share.awaitedBytes == 0) {
            return;
        }
        reservedBytes -= share.bytes;
        share.bytes = 0;
        holders.remove(share);
        if (share.awaitedBytes > 0) {
            share.awaitedBytes = 0;
            waiting.remove(share);
        }
        grantWaiting();
    }

    /** Releases the share of a connection that has closed, for good. */
    synchronized void close(Share share) {
        share.closed = true;
        release(share);
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && fits(waiting.peek().awaitedBytes - waiting.peek().bytes)) {
            Share next = waiting.poll();
            grant(next, next.awaitedBytes);
            maxWaitNanos = Math.max(maxWaitNanos, System.nanoTime() - next.awaitedSinceNanos);
            // Not at once: the caller may hold the lock of another connection's decoder.
            Transport.onSelectorThread(next.connection, () -> connections.setAwaitingMemory(next.connection, false));
        }
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            loop.schedule(CHECK_INTERVAL_MICROS, this::beginCheck);
        }
    }

    private synchronized void beginCheck() {
        checkScheduled = false;
        if (!waiting.isEmpty()) {
            Transport.afterPendingReads(waiting.peek().connection, this::check);
            scheduleCheck();
        }
    }

    /** Runs on the selector thread after the input that has arrived is read. */
    private void check() {
        // Without the lock: a connection whose state is asked for may be closing, which releases its share.
        Set<Share> withoutInput = new HashSet<>();
        for (Share holder : currentHolders()) {
            if (connections.isReadToEnd(holder.connection)) {
                withoutInput.add(holder);
            }
        }
        for (Share rejected : chooseRejected(withoutInput)) {
            connections.reject(rejected.connection);
        }
    }

    private synchronized List<Share> currentHolders() {
        return List.copyOf(holders);
    }

    private synchronized List<Share> chooseRejected(Set<Share> withoutInput) {
        long missingBytes = reservedBytes - maxBytes;
        for (Share share : waiting) {
            missingBytes += share.awaitedBytes - share.bytes;
        }
        List<Share> chosen = new ArrayList<>();
        for (Share holder : holders) {
            holder.checksWithoutInput += withoutInput.contains(holder) ? 1 : 0;
            if (missingBytes > 0 && holder.checksWithoutInput >= MAX_CHECKS_WITHOUT_INPUT) {
                missingBytes -= holder.bytes;
                chosen.add(holder);
                rejections++;
            }
        }
        return chosen;
    }

    /** The counters as {@code name=value} pairs for a log line. */
    @Override
    public synchronized String toString() {
        return "input_bytes=" + reservedBytes + " input_waiting=" + waiting.size() + " max_input_wait_ms="
                + TimeUnit.NANOSECONDS.toMillis(maxWaitNanos) + " input_rejected=" + rejections;
    }
}
