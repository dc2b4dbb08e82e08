package crankwick.transport;

import java.util.ArrayDeque;
import java.util.Queue;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Decides which connections are read. Of those that have more input than one read returns, only a few are read in each
 * round of the selector thread, in turn, so that the round stays short for the others.
 */
final class ReadPacer {
    private static final int MAX_FULL_READS_PER_ROUND = 4;
    /**
     * A read of more bytes may be followed by input that the peer has sent and its machine still holds, although the
     * read did not fill the buffer.
     */
    private static final int MAX_LAST_READ_BYTES = 1_024;
    /** After this time without input, reading has reached the end of what the peer has sent. */
    private static final long QUIET_NANOS = 5_000_000;

    /** Why a connection is not read at present; it is read if no reason applies. */
    private static final class Interest {
        private boolean waiting;
        private boolean paused;
        /** Whether a round of the selector thread has found no input since the last read. */
        private boolean silent;

        private long reads;
        /** When the connection was last read, or reading was last resumed. */
        private long readAtNanos;
        /** Since when there may have been unread input; 0 if reading has reached its end. */
        private long unreadSinceNanos;

        /** Records that reading has reached the end, if a round found no input and nothing has arrived for a while. */
        private void updateIfQuiet() {
            if (silent && System.nanoTime() - readAtNanos > QUIET_NANOS) {
                unreadSinceNanos = 0;
            }
        }

        private void markUnread() {
            unreadSinceNanos = unreadSinceNanos == 0 ? System.nanoTime() : unreadSinceNanos;
        }
    }

    private final Attribute<Interest> interests = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this), Interest::new);
    /** Connections that wait for a round in which they are read; used by the selector thread only. */
    private final Queue<Connection<?>> waiting = new ArrayDeque<>();

    /** The longest that a connection with more input has waited for its round. */
    private volatile long maxWaitNanos;

    private int fullReadsInRound;
    private boolean roundQueued;

    /** Called on the selector thread after each read. */
    void onRead(Connection<?> connection, int bytes) {
        boolean full = bytes >= Transport.READ_BUFFER_BYTES;
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.updateIfQuiet();
            interest.readAtNanos = System.nanoTime();
            interest.silent = false;
            interest.reads++;
            if (full || interest.paused) {
                interest.markUnread();
            } else if (bytes <= MAX_LAST_READ_BYTES) {
                interest.unreadSinceNanos = 0;
            }
        }
        if (full) {
            pace(connection);
        }
        checkSilence(connection, interest);
    }

    /** Lets the next round of the selector thread find out whether there is further input. */
    private static void checkSilence(Connection<?> connection, Interest interest) {
        long reads;
        synchronized (interest) {
            reads = interest.reads;
            if (interest.unreadSinceNanos == 0 || interest.waiting || interest.paused) {
                return;
            }
        }
        Transport.afterPendingReads(connection, () -> {
            synchronized (interest) {
                interest.silent = interest.reads == reads && !interest.waiting && !interest.paused;
            }
        });
    }

    private void pace(Connection<?> connection) {
        fullReadsInRound++;
        if (fullReadsInRound > MAX_FULL_READS_PER_ROUND || !waiting.isEmpty()) {
            waiting.add(connection);
            setWaiting(connection, true);
        }
        queueRound(connection);
    }

    private void queueRound(Connection<?> connection) {
        if (!roundQueued) {
            roundQueued = true;
            Transport.onSelectorThread(connection, this::beginRound);
        }
    }

    private void beginRound() {
        roundQueued = false;
        fullReadsInRound = 0;
        for (int i = 0; i < MAX_FULL_READS_PER_ROUND && !waiting.isEmpty(); i++) {
            setWaiting(waiting.poll(), false);
        }
        waiting.removeIf(connection -> !connection.isOpen());
        if (!waiting.isEmpty()) {
            queueRound(waiting.peek());
        }
    }

    private void setWaiting(Connection<?> connection, boolean isWaiting) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            if (!isWaiting) {
                maxWaitNanos = Math.max(maxWaitNanos, System.nanoTime() - interest.readAtNanos);
            }
            interest.waiting = isWaiting;
            interest.silent = false;
            interest.readAtNanos = System.nanoTime();
            apply(connection, interest);
        }
        checkSilence(connection, interest);
    }

    /** Pauses or resumes reading from a connection. Safe on any thread. */
    void setPaused(Connection<?> connection, boolean isPaused) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.paused = isPaused;
            interest.silent = false;
            interest.readAtNanos = System.nanoTime();
            apply(connection, interest);
            if (isPaused) {
                interest.markUnread();
            }
        }
        checkSilence(connection, interest);
    }

    /** The longest that a connection with more input than one read has waited for its next read, in nanoseconds. */
    long maxWaitNanos() {
        return maxWaitNanos;
    }

    /** The {@link System#nanoTime} since when there may have been unread input; 0 if reading has reached its end. */
    long unreadSinceNanos(Connection<?> connection) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.updateIfQuiet();
            return interest.unreadSinceNanos;
        }
    }

    private static void apply(Connection<?> connection, Interest interest) {
        if (connection.isOpen()) {
            Transport.setInterest(connection, IOEvent.READ, !interest.waiting && !interest.paused);
        }
    }
}
