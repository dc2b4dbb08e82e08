package crankwick.client;

import crankwick.transport.CodecFilter;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client connection. The non-private fields belong to the event loop; state that the loop shares with the selector
 * thread is accessed through synchronized methods.
 *
 * <p>Reading does not stop at the limits on a client's open commands, because a close or a cancel is detected only by
 * reading. Commands over these limits are read as {@link ClientMessage.OverLimit}, without their text. Reading pauses
 * only at {@link #MAX_UNDELIVERED_MESSAGES}.
 */
final class ClientSession {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Read pauses longer than this are logged, because a close by the client is not detected during a pause. */
    private static final long LONG_READ_PAUSE_MILLIS = 50;

    private static final int MAX_OPEN_COMMANDS = 1_024;
    private static final long MAX_OPEN_STATEMENT_BYTES = 1 << 20;
    /**
     * Reading pauses when this many messages have been read that the event loop has not processed; it resumes when at
     * most half as many are left.
     */
    private static final int MAX_UNDELIVERED_MESSAGES = 4_096;
    /**
     * No further reply is written while this many bytes of earlier replies, or more, are unwritten. {@link #onWritten}
     * reports when at most half as many are left.
     */
    private static final long MAX_UNWRITTEN_BYTES = 256 * 1_024;

    final Connection<SocketAddress> connection;
    /** Commands whose replies are not handed to the transport yet, in the order in which the replies are sent. */
    final Deque<ClientCommand> commands = new ArrayDeque<>();

    String team;
    /**
     * Whether a query or an empty query of the client has been processed; logins, cancels and commands over the limits
     * do not count.
     */
    boolean hasSentCommand;
    /**
     * Whether the session is closing: further messages of the client are ignored, and the connection closes after the
     * replies to earlier commands.
     */
    boolean closing;
    /**
     * Whether a close of the idle session is waiting for pending input to be read; the session stays open if a message
     * arrives by then.
     */
    boolean closePending;

    long idleSinceMicros;
    /** The end of the linger period, after which the connection is terminated; 0 if the session is not lingering. */
    long lingerUntilMicros;

    private long messagesDelivered;

    private final ByteBudget statementBudget;
    private final ByteBudget replyBudget;
    private final ClientCounters counters;
    /**
     * Messages that have been read and whose replies are not written yet, of every kind; {@link #openCommands} counts
     * only the queries and empty queries among them that were within the limits.
     */
    private long unansweredMessages;

    private int openCommands;
    private long openStatementBytes;
    /**
     * The bytes of the reply budget that this session has reserved for the values of replies that are not written yet.
     */
    private long replyBytes;

    private int undeliveredMessages;
    private boolean readPaused;
    private long readPausedAtNanos;
    private boolean readingStopped;
    private int unwrittenReplies;
    private long unwrittenBytes;
    private long unwrittenSinceMicros;
    /**
     * Set when {@link #mayWrite} refuses a reply; cleared by {@link #onWritten} when at most half the limit is
     * unwritten.
     */
    private boolean writeBlocked;

    private long messagesRead;
    private long messagesReadAtReport;
    /** The number of the last cancel that was read, which cancels all messages before it; 0 if there was none. */
    private long lastCancelledMessage;

    private boolean closed;
    /** Why the proxy ends the connection; null unless it does. */
    private CloseReason closeReason;

    ClientSession(
            Connection<SocketAddress> connection,
            ByteBudget statementBudget,
            ByteBudget replyBudget,
            ClientCounters counters) {
        this.connection = connection;
        this.statementBudget = statementBudget;
        this.replyBudget = replyBudget;
        this.counters = counters;
    }

    /**
     * Counts messages that have been read and pauses reading if too many are unprocessed. Returns the messages to pass
     * to the event loop, with commands over the limits replaced by {@link ClientMessage.OverLimit}. Called on the
     * selector thread.
     */
    synchronized List<ClientMessage> onMessagesRead(List<ClientMessage> messages) {
        List<ClientMessage> admitted = new ArrayList<>(messages.size());
        for (ClientMessage message : messages) {
            messagesRead++;
            if (message instanceof ClientMessage.Cancel) {
                lastCancelledMessage = messagesRead;
            }
            admitted.add(admit(message));
        }
        unansweredMessages += messages.size();
        undeliveredMessages += messages.size();
        if (!readPaused && undeliveredMessages >= MAX_UNDELIVERED_MESSAGES) {
            readPaused = true;
            readPausedAtNanos = System.nanoTime();
            setReading(false);
        }
        return admitted;
    }

    private ClientMessage admit(ClientMessage message) {
        if (!(message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery)) {
            return message;
        }
        int bytes = message.bytes();
        boolean fits = openCommands < MAX_OPEN_COMMANDS
                && openStatementBytes + bytes <= MAX_OPEN_STATEMENT_BYTES
                && statementBudget.reserve(bytes);
        if (!fits) {
            counters.countOverLimitCommand();
            return new ClientMessage.OverLimit();
        }
        openCommands++;
        openStatementBytes += bytes;
        return message;
    }

    /**
     * Called when the event loop processes a message; returns the number of the message on its connection, from 1. May
     * resume reading.
     */
    synchronized long onMessageDelivered() {
        undeliveredMessages--;
        if (readPaused && undeliveredMessages <= MAX_UNDELIVERED_MESSAGES / 2) {
            readPaused = false;
            onReadResumed();
            setReading(!readingStopped);
        }
        return ++messagesDelivered;
    }

    /**
     * Records that {@code count} consecutive messages are answered: their replies are written, or they get none. The
     * count exceeds 1 only for commands over the limits, which share a queue entry.
     */
    synchronized void onAnswered(ClientMessage message, long count) {
        unansweredMessages -= count;
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            openCommands--;
            releaseStatement(message.bytes());
        }
    }

    private void releaseStatement(long bytes) {
        // Guards against a double release: after onClosed(), which releases all bytes of the session, none are left.
        long reserved = Math.min(bytes, openStatementBytes);
        openStatementBytes -= reserved;
        statementBudget.release(reserved);
    }

    /**
     * Reserves the bytes of a reply until {@link #releaseReply}; false if they exceed the budget or the session's share
     * of it. Returns true without a reservation if the connection has closed.
     */
    synchronized boolean reserveReply(long bytes) {
        if (closed) {
            return true;
        }
        boolean fits = replyBytes + bytes <= replyBudget.maxPerConnection() && replyBudget.reserve(bytes);
        replyBytes += fits ? bytes : 0;
        return fits;
    }

    /**
     * Reserves the bytes of a reply that must not be dropped, even if they exceed the budget; does nothing if the
     * connection has closed.
     */
    synchronized void reserveReplyUnchecked(long bytes) {
        if (!closed) {
            replyBudget.reserveUnchecked(bytes);
            replyBytes += bytes;
        }
    }

    /** Releases the bytes of a reply that is written or no longer needed. */
    synchronized void releaseReply(long bytes) {
        long reserved = Math.min(bytes, replyBytes);
        replyBytes -= reserved;
        replyBudget.release(reserved);
    }

    private void onReadResumed() {
        long millis = (System.nanoTime() - readPausedAtNanos) / NANOS_PER_MILLI;
        counters.countReadPause(millis);
        if (millis > LONG_READ_PAUSE_MILLIS) {
            LOG.info(
                    "client {}: resumed reading after {} ms (paused at the limit on unprocessed messages)",
                    connection.getPeerAddress(),
                    millis);
        }
    }

    /** Stops reading for good; commands that have been read are still answered. */
    synchronized void stopReading() {
        readingStopped = true;
        setReading(false);
    }

    private void setReading(boolean enabled) {
        Transport.setInterest(connection, IOEvent.READ, enabled);
    }

    /**
     * Called on the selector thread when the connection has been closed, by the client or by the proxy; releases its
     * reserved bytes.
     */
    synchronized void onClosed() {
        closed = true;
        releaseStatement(openStatementBytes);
        releaseReply(replyBytes);
    }

    synchronized boolean isAbandoned(long messageNumber) {
        return closed || messageNumber > 0 && messageNumber <= lastCancelledMessage;
    }

    /** True if a message has been read whose reply is not written yet. */
    synchronized boolean hasUnansweredMessage() {
        return unansweredMessages > 0;
    }

    /**
     * Closes the connection on the selector thread after pending input is read, so that nothing is read between the
     * check and the close. If a message is unanswered, or one is partly received and {@link #stopReading} has not been
     * called, the connection stays open and {@code whenBusy} runs.
     */
    void closeUnlessBusy(CodecFilter codec, CloseReason reason, Runnable whenBusy) {
        Transport.afterPendingReads(connection, () -> {
            if (hasUnansweredMessage() || !isReadingStopped() && codec.hasIncompleteMessage(connection)) {
                whenBusy.run();
            } else {
                recordCloseReason(reason);
                connection.terminateSilently();
            }
        });
    }

    /** Records why the proxy is about to end the connection; the first reason counts. */
    synchronized void recordCloseReason(CloseReason reason) {
        closeReason = closeReason == null && !closed ? reason : closeReason;
    }

    synchronized CloseReason closeReason() {
        return closeReason == null ? CloseReason.CLIENT_CLOSED : closeReason;
    }

    /** The number of messages of every kind that have been read. */
    synchronized long messagesRead() {
        return messagesRead;
    }

    /** The number of messages read since the last call. */
    synchronized long takeMessagesReadSinceReport() {
        long messages = messagesRead - messagesReadAtReport;
        messagesReadAtReport = messagesRead;
        return messages;
    }

    synchronized int undeliveredMessages() {
        return undeliveredMessages;
    }

    private synchronized boolean isReadingStopped() {
        return readingStopped;
    }

    /**
     * True if another reply may be written now. If false, {@link #onWritten} later returns true when writing may
     * resume.
     */
    synchronized boolean mayWrite() {
        writeBlocked = unwrittenBytes >= MAX_UNWRITTEN_BYTES;
        return !writeBlocked;
    }

    synchronized void onWriteQueued(long bytes, long now) {
        unwrittenSinceMicros = unwrittenReplies++ == 0 ? now : unwrittenSinceMicros;
        unwrittenBytes += bytes;
    }

    /**
     * Records that a reply has been written. Returns true if {@link #mayWrite} had refused a reply and at most half of
     * the limit on unwritten bytes is left, so that queued replies may be written again.
     */
    synchronized boolean onWritten(long bytes, long now) {
        unwrittenReplies--;
        unwrittenBytes -= bytes;
        unwrittenSinceMicros = now;
        boolean unblocked = writeBlocked && unwrittenBytes <= MAX_UNWRITTEN_BYTES / 2;
        writeBlocked &= !unblocked;
        return unblocked;
    }

    synchronized boolean hasUnwrittenReplySince(long since) {
        return unwrittenReplies > 0 && unwrittenSinceMicros < since;
    }

    /**
     * True once the last reply, if there is one, is queued for writing: the client has limited time to read it and to
     * close.
     */
    boolean isLingering() {
        return lingerUntilMicros > 0;
    }

    /** True if the session may be evicted in favor of a new one. */
    boolean isEvictable() {
        return !closePending && (isLingering() || isIdle());
    }

    boolean isIdle() {
        return commands.isEmpty() && !isLingering();
    }

    /**
     * Lingering sessions are evicted first, then those that have never sent a command, then the others; among equals,
     * the longest idle session goes first.
     */
    boolean isEvictedBefore(ClientSession other) {
        return evictionRank() != other.evictionRank()
                ? evictionRank() < other.evictionRank()
                : idleSinceMicros < other.idleSinceMicros;
    }

    private int evictionRank() {
        if (isLingering()) {
            return 0;
        }
        return hasSentCommand ? 2 : 1;
    }
}
