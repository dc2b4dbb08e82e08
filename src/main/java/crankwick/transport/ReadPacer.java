package crankwick.transport;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * Decides which connections are read. Of those that have more input than one read returns, only a few are read in each
 * round of the selector thread, so that the round stays short for the others. Their turns are in the order of a
 * {@link FairQueue}: a connection that has sent little lately is read to the end of a message before those that send on
 * and on.
 */
final class ReadPacer {
    private static final int MAX_FULL_READS_PER_ROUND = 4;
    /** So much of a connection that has sent little is read before those that send on and on. */
    private static final long CREDIT_BYTES = 64 * 1_024;
    /** The work for a message beside that for its bytes, counted in bytes. */
    private static final long MESSAGE_COST_BYTES = 512;
    /**
     * A read of more bytes may be followed by input that the peer has sent and its machine still holds, although the
     * read did not fill the buffer.
     */
    private static final int MAX_LAST_READ_BYTES = 1_024;
    /** After this time without input, reading has reached the end of what the peer has sent. */
    private static final long QUIET_NANOS = 5_000_000;

    /** Why a connection is not read at present; it is read if no reason applies. */
    private static final class Interest {
        private final FairQueue.Flow<Interest> flow = new FairQueue.Flow<>(this);
        /** The connection; set before the first wait for a round. */
        private Connection<?> connection;

        private boolean waiting;
        private boolean paused;
        private boolean awaitingMemory;
        /** Whether the last read returned as much as a read can. */
        private boolean lastReadFull;
        /** Whether a round of the selector thread has found no input since the last read. */
        private boolean silent;

        private long reads;
        /** When the connection was last read, or reading was last resumed. */
        private long readAtNanos;
        /** Since when there may have been unread input; 0 if reading has reached its end. */
        private long unreadSinceNanos;

        private boolean isReading() {
            return !waiting && !paused && !awaitingMemory;
        }

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
    private final FairQueue<Interest> waiting = new FairQueue<>(CREDIT_BYTES);

    /** The longest that a connection with more input has waited for its round. */
    private volatile long maxWaitNanos;

    private int fullReadsInRound;
    private boolean roundQueued;

    /** Called on the selector thread after each read, with the number of messages that it completed. */
    void onRead(Connection<?> connection, int bytes, int messages) {
        boolean full = bytes >= Transport.READ_BUFFER_BYTES;
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.updateIfQuiet();
            interest.readAtNanos = System.nanoTime();
            interest.silent = false;
            interest.reads++;
            interest.lastReadFull = full;
            if (full || interest.paused) {
                interest.markUnread();
            } else if (bytes <= MAX_LAST_READ_BYTES) {
                interest.unreadSinceNanos = 0;
            }
        }
        if (full) {
            pace(connection, interest, bytes + messages * MESSAGE_COST_BYTES);
        }
        checkSilence(connection, interest);
    }

    /** Lets the next round of the selector thread find out whether there is further input. */
    private static void checkSilence(Connection<?> connection, Interest interest) {
        long reads;
        synchronized (interest) {
            reads = interest.reads;
            if (interest.unreadSinceNanos == 0 || !interest.isReading()) {
                return;
            }
        }
        Transport.afterPendingReads(connection, () -> {
            synchronized (interest) {
                interest.silent = interest.reads == reads && interest.isReading();
            }
        });
    }

    private void pace(Connection<?> connection, Interest interest, long cost) {
        fullReadsInRound++;
        waiting.charge(interest.flow, cost);
        if (fullReadsInRound > MAX_FULL_READS_PER_ROUND || !waiting.isEmpty()) {
            interest.connection = connection;
            waiting.add(interest.flow, Transport.READ_BUFFER_BYTES);
            setWaiting(interest, true);
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
        int reads = 0;
        while (reads < MAX_FULL_READS_PER_ROUND && !waiting.isEmpty()) {
            Interest next = waiting.poll();
            if (next.connection.isOpen()) {
                setWaiting(next, false);
                reads++;
            }
        }
        while (!waiting.isEmpty() && !waiting.peek().connection.isOpen()) {
            waiting.poll();
        }
        if (!waiting.isEmpty()) {
            queueRound(waiting.peek().connection);
        }
    }

    private void setWaiting(Interest interest, boolean isWaiting) {
        synchronized (interest) {
            if (!isWaiting) {
                maxWaitNanos = Math.max(maxWaitNanos, System.nanoTime() - interest.readAtNanos);
            }
            interest.waiting = isWaiting;
            interest.silent = false;
            interest.readAtNanos = System.nanoTime();
            apply(interest.connection, interest);
        }
        checkSilence(interest.connection, interest);
    }

    /** Pauses or resumes reading from a connection. Safe on any thread. */
    void setPaused(Connection<?> connection, boolean isPaused) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.paused = isPaused;
            onPauseChanged(connection, interest, isPaused);
        }
        checkSilence(connection, interest);
    }

    /** Pauses reading from a connection until there is memory for its input, or resumes it. Safe on any thread. */
    void setAwaitingMemory(Connection<?> connection, boolean isAwaiting) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            interest.awaitingMemory = isAwaiting;
            onPauseChanged(connection, interest, isAwaiting);
        }
        checkSilence(connection, interest);
    }

    private static void onPauseChanged(Connection<?> connection, Interest interest, boolean isPaused) {
        interest.silent = false;
        interest.readAtNanos = System.nanoTime();
        apply(connection, interest);
        if (isPaused) {
            interest.markUnread();
        }
    }

    /** True if a connection is being read, and its last read found less than a read can return, or a later one none. */
    boolean isReadToEnd(Connection<?> connection) {
        Interest interest = interests.get(connection);
        synchronized (interest) {
            return interest.isReading() && (interest.silent || !interest.lastReadFull);
        }
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
            Transport.setInterest(connection, IOEvent.READ, interest.isReading());
        }
    }
}
