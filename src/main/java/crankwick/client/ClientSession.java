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
 * <p>Reading continues however many commands a client has open, because a close or a cancel is detected only by
 * reading. Commands over the limits are read as {@link ClientMessage.OverLimit}, without their text.
 */
final class ClientSession {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Longer read pauses are logged, because a close by the client is not detected during a pause. */
    private static final long LONG_READ_PAUSE_MILLIS = 50;

    private static final int MAX_OPEN_COMMANDS = 1_024;
    private static final long MAX_OPEN_STATEMENT_BYTES = 1 << 20;
    /** Reading pauses at this number of unprocessed messages, until the event loop has processed half of them. */
    private static final int MAX_UNDELIVERED_MESSAGES = 4_096;
    /** Further replies stay queued while this many bytes of earlier replies are not written. */
    private static final long MAX_UNWRITTEN_BYTES = 256 * 1_024;

    final Connection<SocketAddress> connection;
    /** Commands in the order in which their replies go out. */
    final Deque<ClientCommand> commands = new ArrayDeque<>();

    String team;
    /** Whether the client has ever sent a command. */
    boolean hasSentCommand;
    /** No further command is accepted: the connection closes after the replies to earlier ones. */
    boolean closing;
    /** A close is pending; it is abandoned if a command has just been read. */
    boolean closePending;

    long idleSinceMicros;
    /** The end of the linger period, after which the connection is terminated; 0 if the session is not lingering. */
    long lingerUntilMicros;

    private long messagesDelivered;

    private final ByteBudget statementBudget;
    private final ByteBudget replyBudget;
    private final ClientCounters counters;
    /** Messages that are not answered yet; {@link #openCommands} counts those that count towards the limits. */
    private long unansweredMessages;

    private int openCommands;
    private long openStatementBytes;
    /** Bytes of the values of replies that are not written yet. */
    private long replyBytes;

    private int undeliveredMessages;
    private boolean readPaused;
    private long readPausedAtNanos;
    private boolean readingStopped;
    private int unwrittenReplies;
    private long unwrittenBytes;
    private long unwrittenSinceMicros;
    /** Ready replies stay queued until earlier ones are written. */
    private boolean writeBlocked;

    private long messagesRead;
    /** The messages up to this number are cancelled. */
    private long lastCancelledMessage;

    private boolean closed;

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
     * Counts messages that have been read. Returns the messages to pass to the event loop, with commands over the
     * limits replaced by {@link ClientMessage.OverLimit}. Called on the selector thread.
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

    /** Called when the event loop processes a message; returns the number of the message. */
    synchronized long onMessageDelivered() {
        undeliveredMessages--;
        if (readPaused && undeliveredMessages <= MAX_UNDELIVERED_MESSAGES / 2) {
            readPaused = false;
            onReadResumed();
            setReading(!readingStopped);
        }
        return ++messagesDelivered;
    }

    /** {@code count} consecutive messages like this one have their replies written, or need no reply. */
    synchronized void onAnswered(ClientMessage message, long count) {
        unansweredMessages -= count;
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            openCommands--;
            releaseStatement(message.bytes());
        }
    }

    private void releaseStatement(long bytes) {
        // Guards against a double release: onClosed() has released all bytes of the session.
        long reserved = Math.min(bytes, openStatementBytes);
        openStatementBytes -= reserved;
        statementBudget.release(reserved);
    }

    /** Reserves the bytes of a reply until {@link #releaseReply}; false if they exceed the budget. */
    synchronized boolean reserveReply(long bytes) {
        if (closed) {
            return true;
        }
        boolean fits = replyBytes + bytes <= replyBudget.maxPerConnection() && replyBudget.reserve(bytes);
        replyBytes += fits ? bytes : 0;
        return fits;
    }

    /** Reserves the bytes of a reply that must not be dropped, even if they exceed the budget. */
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

    /** Stops reading; commands that have been read are still answered. */
    synchronized void stopReading() {
        readingStopped = true;
        setReading(false);
    }

    private void setReading(boolean enabled) {
        Transport.setInterest(connection, IOEvent.READ, enabled);
    }

    /** The connection has been closed, by the client or by the proxy. Called on the selector thread. */
    synchronized void onClosed() {
        closed = true;
        releaseStatement(openStatementBytes);
        releaseReply(replyBytes);
    }

    synchronized boolean isAbandoned(long messageNumber) {
        return closed || messageNumber > 0 && messageNumber <= lastCancelledMessage;
    }

    /** True if a message has been read that is not answered yet. */
    synchronized boolean hasUnansweredMessage() {
        return unansweredMessages > 0;
    }

    /**
     * Closes the connection on the selector thread after pending input is read, so that nothing is read between the
     * check and the close. If a message is unanswered, or one is partly received while reading is enabled, the
     * connection stays open and {@code whenBusy} runs.
     */
    void closeUnlessBusy(CodecFilter codec, Runnable whenBusy) {
        Transport.afterPendingReads(connection, () -> {
            if (hasUnansweredMessage() || !isReadingStopped() && codec.hasIncompleteMessage(connection)) {
                whenBusy.run();
            } else {
                connection.terminateSilently();
            }
        });
    }

    private synchronized boolean isReadingStopped() {
        return readingStopped;
    }

    /** True if another reply may be written now; otherwise {@link #onWritten} reports when writing may resume. */
    synchronized boolean mayWrite() {
        writeBlocked = unwrittenBytes >= MAX_UNWRITTEN_BYTES;
        return !writeBlocked;
    }

    synchronized void onWriteQueued(long bytes, long now) {
        unwrittenSinceMicros = unwrittenReplies++ == 0 ? now : unwrittenSinceMicros;
        unwrittenBytes += bytes;
    }

    /** A reply has been written; returns true if queued replies may now be written. */
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

    /** True once the last reply is queued for writing: the client has limited time to read it and to close. */
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

    /** Lingering sessions are evicted first, then those that have never sent a command, then the longest idle. */
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
