package crankwick.client;

import crankwick.transport.CodecFilter;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The messages of one client connection that have been read and not processed yet. The selector thread adds them, the
 * event loop takes them; thread-safe. Reading pauses while there are too many.
 */
final class MessageInbox {
    private static final Logger LOG = LoggerFactory.getLogger(MessageInbox.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Read pauses longer than this are logged, because a close by the client is not detected during a pause. */
    private static final long LONG_READ_PAUSE_MILLIS = 50;
    /**
     * Reading pauses when this many messages have been read that the event loop has not processed; it resumes when at
     * most half as many are left.
     */
    private static final int MAX_UNPROCESSED_MESSAGES = 4_096;

    private final Connection<SocketAddress> connection;
    private final CodecFilter codec;
    private final ClientCounters counters;
    private final Deque<ReceivedMessage> messages = new ArrayDeque<>();
    /** The number of messages in {@link #messages}, of which several may share an entry. */
    private int unprocessed;
    /** Whether the session waits for a turn of the {@link MessageScheduler}, or has one. */
    private boolean scheduled;

    private long messagesRead;
    private long messagesReadAtReport;
    private long messagesTaken;

    private boolean readPaused;
    private long readPausedAtNanos;
    private boolean readingStopped;
    private boolean closed;

    MessageInbox(Connection<SocketAddress> connection, CodecFilter codec, ClientCounters counters) {
        this.connection = connection;
        this.codec = codec;
        this.counters = counters;
    }

    /** Adds a message; returns its number on the connection, from 1. */
    synchronized long add(ClientMessage message, long readAt) {
        if (messages.isEmpty() || !messages.peekLast().merge(message)) {
            messages.add(new ReceivedMessage(message, readAt));
        }
        unprocessed++;
        return ++messagesRead;
    }

    /** Pauses reading if too many messages are unprocessed. Called on the selector thread. */
    synchronized void pauseReadingIfFull() {
        if (!readPaused && unprocessed >= MAX_UNPROCESSED_MESSAGES) {
            readPaused = true;
            readPausedAtNanos = System.nanoTime();
            setReading(false);
        }
    }

    /** Marks the session as scheduled; false if it already was. */
    synchronized boolean markScheduled() {
        boolean marked = !scheduled;
        scheduled = true;
        return marked;
    }

    /** Unmarks the session if it has no unprocessed message, otherwise returns false. */
    synchronized boolean unmarkScheduledIfEmpty() {
        scheduled = !messages.isEmpty();
        return !scheduled;
    }

    /** Removes and returns the next entry; null if there is none. May resume reading. */
    synchronized ReceivedMessage poll() {
        ReceivedMessage received = messages.poll();
        if (received != null) {
            unprocessed -= received.count();
            messagesTaken += received.count();
            resumeReadingIfDrained();
        }
        return received;
    }

    synchronized boolean isNextQuery() {
        ReceivedMessage next = messages.peek();
        return next != null && next.message instanceof ClientMessage.Query;
    }

    /** The size of the next message's text; 0 if there is no message. */
    synchronized int nextMessageBytes() {
        ReceivedMessage next = messages.peek();
        return next == null ? 0 : next.message.bytes();
    }

    /** The number on its connection, from 1, of the message that was taken last. */
    synchronized long lastMessageNumber() {
        return messagesTaken;
    }

    private void resumeReadingIfDrained() {
        if (readPaused && unprocessed <= MAX_UNPROCESSED_MESSAGES / 2) {
            readPaused = false;
            recordReadPause();
            setReading(!readingStopped);
        }
    }

    private void recordReadPause() {
        long millis = (System.nanoTime() - readPausedAtNanos) / NANOS_PER_MILLI;
        counters.countReadPause(millis);
        if (millis > LONG_READ_PAUSE_MILLIS) {
            LOG.info(
                    "client {}: resumed reading after {} ms (paused at the limit on unprocessed messages)",
                    connection.getPeerAddress(),
                    millis);
        }
    }

    /** Drops all messages of a connection that has closed. */
    synchronized void close() {
        closed = true;
        messages.clear();
        unprocessed = 0;
    }

    /** Stops reading for good; messages that have been read are still processed. */
    synchronized void stopReading() {
        readingStopped = true;
        setReading(false);
    }

    synchronized boolean isReadingStopped() {
        return readingStopped;
    }

    private void setReading(boolean enabled) {
        if (!closed) {
            codec.setReadingPaused(connection, !enabled);
        }
    }

    /** The number of messages of every kind that have been read. */
    synchronized long messagesRead() {
        return messagesRead;
    }

    /** The number of messages read since the last call. */
    synchronized long takeMessagesReadSinceReport() {
        long read = messagesRead - messagesReadAtReport;
        messagesReadAtReport = messagesRead;
        return read;
    }

    synchronized int unprocessed() {
        return unprocessed;
    }
}
