package crankwick.client;

import crankwick.transport.CodecFilter;
import crankwick.transport.FairQueue;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.Connection;

/**
 * One client connection. The non-private fields belong to the event loop; state that the loop shares with the selector
 * thread is accessed through synchronized methods.
 *
 * <p>Reading does not stop at the limits on a client's open commands, because a close or a cancel is detected only by
 * reading. Commands over these limits are read as {@link ClientMessage.OverLimit}, without their text.
 */
final class ClientSession {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** The size that is counted for a command in addition to its statement; an upper bound. */
    private static final int COMMAND_OVERHEAD_BYTES = 512;

    private static final int MAX_OPEN_COMMANDS = 1_024;
    private static final long MAX_OPEN_STATEMENT_BYTES = 1 << 20;
    /**
     * No further reply is written while this many bytes of earlier replies, or more, are unwritten. {@link #onWritten}
     * reports when at most half as many are left.
     */
    private static final long MAX_UNWRITTEN_BYTES = 256 * 1_024;

    /**
     * For how long input of the client may be unread while its requests are still sent: less than the 100 ms after its
     * close in which an attempt may begin, as the close may be among that input.
     */
    private static final long MAX_UNREAD_INPUT_NANOS = 50 * NANOS_PER_MILLI;

    final Connection<SocketAddress> connection;
    final MessageInbox inbox;
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

    /** Whether more replies are ready than the last flush wrote, so that the session needs another turn. */
    boolean repliesLeft;

    /** The session's share of the turns of the {@link MessageScheduler}. */
    final FairQueue.Flow<ClientSession> flow = new FairQueue.Flow<>(this);

    /** When the session was queued for its turn, or began to wait for requests, by {@link System#nanoTime}. */
    volatile long queuedAtNanos;

    /** The session's requests that are neither answered nor abandoned; maintained by {@link OpenRequests}. */
    int openRequests;

    /** Whether ready replies are written only at the end of the session's current turn. */
    boolean flushDeferred;

    long idleSinceMicros;
    /** The end of the linger period, after which the connection is terminated; 0 if the session is not lingering. */
    long lingerUntilMicros;

    private final CodecFilter codec;
    private final ClientBudgets budgets;
    private final ClientCounters counters;
    /**
     * Messages that have been read and whose replies are not written yet, of every kind; {@link #openCommands} counts
     * only the queries and empty queries among them that were within the limits.
     */
    private long unansweredMessages;

    private int openCommands;
    private long openStatementBytes;
    /** The bytes that the session has reserved for its open commands and their statements. */
    private long reservedCommandBytes;
    /**
     * The bytes of the reply budget that this session has reserved for the values of replies that are not written yet.
     */
    private long replyBytes;

    /** Whether the event loop knows the session, or need not know it because it has closed. */
    private boolean registered;

    private int unwrittenReplies;
    private long unwrittenBytes;
    private long unwrittenSinceMicros;
    /**
     * Set when {@link #mayWrite} refuses a reply; cleared by {@link #onWritten} when at most half the limit is
     * unwritten.
     */
    private boolean writeBlocked;

    /** The number of the last cancel that was read, which cancels all messages before it; 0 if there was none. */
    private long lastCancelledMessage;

    private boolean closed;
    /** Why the proxy ends the connection; null unless it does. */
    private CloseReason closeReason;
    /** The fault that the client was told; empty if there is none. */
    private String closeFault = "";

    ClientSession(
            Connection<SocketAddress> connection, CodecFilter codec, ClientBudgets budgets, ClientCounters counters) {
        this.connection = connection;
        this.codec = codec;
        inbox = new MessageInbox(connection, codec, counters);
        this.budgets = budgets;
        this.counters = counters;
    }

    /**
     * Queues messages that were read at {@code readAt}, in microseconds of Unix time, with commands over the limits
     * replaced by {@link ClientMessage.OverLimit}, and pauses reading if too many are unprocessed. Called on the
     * selector thread.
     */
    synchronized void onMessagesRead(List<ClientMessage> messages, long readAt) {
        for (ClientMessage message : messages) {
            long number = inbox.add(admit(message), readAt);
            if (message instanceof ClientMessage.Cancel) {
                lastCancelledMessage = number;
            }
        }
        unansweredMessages += messages.size();
        inbox.pauseReadingIfFull();
    }

    /** Marks the session as registered on the event loop; false if it already was. */
    boolean register() {
        boolean first = !registered;
        registered = true;
        return first;
    }

    private ClientMessage admit(ClientMessage message) {
        if (!(message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery)) {
            return message;
        }
        int bytes = message.bytes();
        boolean fits = openCommands < MAX_OPEN_COMMANDS
                && openStatementBytes + bytes <= MAX_OPEN_STATEMENT_BYTES
                && budgets.statements().reserveFairShare(bytes + COMMAND_OVERHEAD_BYTES, reservedCommandBytes);
        if (!fits) {
            countOverLimitCommand();
            return new ClientMessage.OverLimit();
        }
        openCommands++;
        openStatementBytes += bytes;
        reservedCommandBytes += bytes + COMMAND_OVERHEAD_BYTES;
        return message;
    }

    /**
     * Records that {@code count} consecutive messages are answered: their replies are written, or they get none. The
     * count exceeds 1 only for commands over the limits, which share a queue entry.
     */
    synchronized void onAnswered(ClientMessage message, long count) {
        unansweredMessages -= count;
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            openCommands--;
            openStatementBytes -= message.bytes();
            releaseCommands(message.bytes() + COMMAND_OVERHEAD_BYTES);
        }
    }

    void countOverLimitCommand() {
        counters.countOverLimitCommand();
    }

    private void releaseCommands(long bytes) {
        // Guards against a double release: after onClosed(), which releases all bytes of the session, none are left.
        long released = Math.min(bytes, reservedCommandBytes);
        reservedCommandBytes -= released;
        budgets.statements().release(released);
    }

    /**
     * Reserves the bytes of a reply until {@link #releaseReply}; false if they exceed the budget or the session's share
     * of it. Returns true without a reservation if the connection has closed.
     */
    synchronized boolean reserveReply(long bytes) {
        if (closed) {
            return true;
        }
        boolean fits = replyBytes + bytes <= budgets.replies().maxPerConnection()
                && budgets.replies().reserve(bytes);
        replyBytes += fits ? bytes : 0;
        return fits;
    }

    /**
     * Reserves the bytes of a reply that must not be dropped, even if they exceed the budget; does nothing if the
     * connection has closed.
     */
    synchronized void reserveReplyUnchecked(long bytes) {
        if (!closed) {
            budgets.replies().reserveUnchecked(bytes);
            replyBytes += bytes;
        }
    }

    /** Releases the bytes of a reply that is written or no longer needed. */
    synchronized void releaseReply(long bytes) {
        long reserved = Math.min(bytes, replyBytes);
        replyBytes -= reserved;
        budgets.replies().release(reserved);
    }

    /**
     * Called on the selector thread when the connection has been closed, by the client or by the proxy; drops its
     * unprocessed messages and releases its reserved bytes.
     */
    synchronized void onClosed() {
        closed = true;
        inbox.close();
        releaseCommands(reservedCommandBytes);
        budgets.unwritten().release(unwrittenBytes);
        releaseReply(replyBytes);
    }

    synchronized boolean isAbandoned(long messageNumber) {
        return closed || messageNumber > 0 && messageNumber <= lastCancelledMessage;
    }

    /** True if the client may have closed or cancelled so long ago that no request of it may be sent. */
    boolean hasLongUnreadInput() {
        long sinceNanos = codec.unreadSinceNanos(connection);
        return sinceNanos != 0 && System.nanoTime() - sinceNanos > MAX_UNREAD_INPUT_NANOS;
    }

    /** True if the next unprocessed message is a query that the client has not cancelled. */
    synchronized boolean isNextMessageLiveQuery() {
        return inbox.isNextQuery() && !isAbandoned(inbox.lastMessageNumber() + 1);
    }

    /** True if a message has been read whose reply is not written yet. */
    synchronized boolean hasUnansweredMessage() {
        return unansweredMessages > 0;
    }

    /**
     * Closes the connection on the selector thread after pending input is read, so that nothing is read between the
     * check and the close. If a message is unanswered, or more input is expected and {@link MessageInbox#stopReading}
     * has not been called, the connection stays open and {@code whenBusy} runs.
     */
    void closeUnlessBusy(CloseReason reason, Runnable whenBusy) {
        Transport.afterPendingReads(connection, () -> {
            if (hasUnansweredMessage() || !inbox.isReadingStopped() && expectsInput()) {
                whenBusy.run();
            } else {
                recordCloseReason(reason);
                connection.terminateSilently();
            }
        });
    }

    private boolean expectsInput() {
        return codec.hasIncompleteMessage(connection) || codec.unreadSinceNanos(connection) != 0;
    }

    /** Records why the proxy is about to end the connection; the first reason counts. */
    void recordCloseReason(CloseReason reason) {
        recordCloseReason(reason, "");
    }

    /** As above, with the fault that the client is told. */
    synchronized void recordCloseReason(CloseReason reason, String fault) {
        if (closeReason == null && !closed) {
            closeReason = reason;
            closeFault = fault;
        }
    }

    synchronized String closeFault() {
        return closeFault;
    }

    synchronized CloseReason closeReason() {
        return closeReason == null ? CloseReason.CLIENT_CLOSED : closeReason;
    }

    /**
     * True if another reply may be written now. If false, {@link #onWritten} later returns true when writing may
     * resume.
     */
    synchronized boolean mayWrite() {
        long share =
                Math.min(MAX_UNWRITTEN_BYTES, Math.max(1, budgets.unwritten().free()));
        writeBlocked = unwrittenBytes >= share;
        return !writeBlocked;
    }

    synchronized void onWriteQueued(long bytes, long now) {
        unwrittenSinceMicros = unwrittenReplies++ == 0 ? now : unwrittenSinceMicros;
        unwrittenBytes += bytes;
        budgets.unwritten().reserveUnchecked(closed ? 0 : bytes);
    }

    /**
     * Records that a reply has been written. Returns true if {@link #mayWrite} had refused a reply and at most half of
     * the limit on unwritten bytes is left, so that queued replies may be written again.
     */
    synchronized boolean onWritten(long bytes, long now) {
        unwrittenReplies--;
        unwrittenBytes -= bytes;
        budgets.unwritten().release(closed ? 0 : bytes);
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
