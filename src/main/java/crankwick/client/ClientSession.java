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
 * One client connection. Its plain fields belong to the event loop; what the selector thread shares with the loop is
 * reached through synchronized methods.
 *
 * <p>However much a client has open, reading from it goes on: only reading tells that it has closed or
 * cancelled. What it sends beyond the limits is taken in as {@link ClientMessage.OverLimit}, without its text.
 */
final class ClientSession {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A pause is logged that keeps a client's close unread for longer than this. */
    private static final long LONG_READ_PAUSE_MILLIS = 50;

    private static final int MAX_OPEN_COMMANDS = 1_024;
    private static final long MAX_OPEN_STATEMENT_BYTES = 1 << 20;
    /** Reading pauses, until the loop has caught up, at so many messages that it has not processed. */
    private static final int MAX_UNDELIVERED_MESSAGES = 4_096;
    /** Replies wait in their places while so many bytes of earlier ones are not written. */
    private static final long MAX_UNWRITTEN_BYTES = 256 * 1_024;

    final Connection<SocketAddress> connection;
    /** Commands in the order in which their replies go out. */
    final Deque<ClientCommand> commands = new ArrayDeque<>();

    String team;
    /** Whether a command has ever come in. */
    boolean hasSentCommand;
    /** No further command is accepted: the connection ends behind the replies to earlier ones. */
    boolean ending;
    /** The connection is to be closed unless a command has just been read from it. */
    boolean closeRequested;

    long idleSinceMicros;
    /** When the connection is terminated after its last reply; 0 before that. */
    long lingerUntilMicros;

    private long messagesDelivered;

    private final ByteBudget statementBudget;
    private final ByteBudget replyBudget;
    private final ClientCounters counters;
    /** Messages that are not answered yet, and those of them that are held with their text. */
    private long unanswered;

    private int openCommands;
    private long openStatementBytes;
    /** Values of replies that are not written yet. */
    private long replyBytes;

    private int undelivered;
    private boolean readPaused;
    private long readPausedAtNanos;
    private boolean readingStopped;
    private int unwrittenReplies;
    private long unwrittenBytes;
    private long unwrittenSinceMicros;
    /** Replies that are ready wait until earlier ones are written. */
    private boolean writeBlocked;

    private long messagesRead;
    /** Messages up to this one are cancelled. */
    private long cancelledTo;

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
     * Messages have been read; they are returned as they are to be handed to the loop, those beyond the limits
     * without their text. On the selector thread.
     */
    synchronized List<ClientMessage> read(List<ClientMessage> messages) {
        List<ClientMessage> admitted = new ArrayList<>(messages.size());
        for (ClientMessage message : messages) {
            messagesRead++;
            if (message instanceof ClientMessage.Cancel) {
                cancelledTo = messagesRead;
            }
            admitted.add(admit(message));
        }
        unanswered += messages.size();
        undelivered += messages.size();
        if (!readPaused && undelivered >= MAX_UNDELIVERED_MESSAGES) {
            readPaused = true;
            readPausedAtNanos = System.nanoTime();
            toggleReading(false);
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

    /** The loop processes a message; returns its number. */
    synchronized long nextMessage() {
        undelivered--;
        if (readPaused && undelivered <= MAX_UNDELIVERED_MESSAGES / 2) {
            readPaused = false;
            onReadResumed();
            toggleReading(!readingStopped);
        }
        return ++messagesDelivered;
    }

    /** So many messages in a row like this one have their replies written, or are owed none. */
    synchronized void onAnswered(ClientMessage message, long times) {
        unanswered -= times;
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.EmptyQuery) {
            openCommands--;
            release(message.bytes());
        }
    }

    private void release(long bytes) {
        // Guards against giving back twice what the end of the connection has given back.
        long reserved = Math.min(bytes, openStatementBytes);
        openStatementBytes -= reserved;
        statementBudget.release(reserved);
    }

    /** Takes a reply's bytes into account, until {@link #releaseReply}; false if they are too many. */
    synchronized boolean reserveReply(long bytes) {
        if (closed) {
            return true;
        }
        boolean fits = replyBytes + bytes <= replyBudget.maxPerConnection() && replyBudget.reserve(bytes);
        replyBytes += fits ? bytes : 0;
        return fits;
    }

    /** The same for a reply that must not be dropped. */
    synchronized void forceReserveReply(long bytes) {
        if (!closed) {
            replyBudget.reserveUnchecked(bytes);
            replyBytes += bytes;
        }
    }

    /** A reply is written, or no longer wanted. */
    synchronized void releaseReply(long bytes) {
        long reserved = Math.min(bytes, replyBytes);
        replyBytes -= reserved;
        replyBudget.release(reserved);
    }

    private void onReadResumed() {
        long millis = (System.nanoTime() - readPausedAtNanos) / NANOS_PER_MILLI;
        counters.countReadPause(millis);
        if (millis > LONG_READ_PAUSE_MILLIS) {
            LOG.info("client {}: reading was paused for {} ms", connection.getPeerAddress(), millis);
        }
    }

    /** Reads nothing more; commands that have been read are answered. */
    synchronized void stopReading() {
        readingStopped = true;
        toggleReading(false);
    }

    private void toggleReading(boolean wanted) {
        Transport.setInterest(connection, IOEvent.READ, wanted);
    }

    /** The client has closed its connection, or it has been ended. On the selector thread. */
    synchronized void closed() {
        closed = true;
        release(openStatementBytes);
        releaseReply(replyBytes);
    }

    synchronized boolean isAbandoned(long message) {
        return closed || message > 0 && message <= cancelledTo;
    }

    /** True if a message has been read that is not answered yet. */
    synchronized boolean isOwedReply() {
        return unanswered > 0;
    }

    /**
     * Closes the connection on the selector thread, once what has arrived is read, so that nothing can
     * be read in between. It stays where a command has been read but not answered, or a part of one has come in:
     * {@code whenBusy}.
     */
    void closeUnlessBusy(CodecFilter codec, Runnable whenBusy) {
        Transport.afterPendingReads(connection, () -> {
            if (isOwedReply() || !isReadingStopped() && codec.hasIncompleteMessage(connection)) {
                whenBusy.run();
            } else {
                connection.terminateSilently();
            }
        });
    }

    private synchronized boolean isReadingStopped() {
        return readingStopped;
    }

    /** True if another reply may be written now; else {@link #onWritten} tells when it may. */
    synchronized boolean mayWrite() {
        writeBlocked = unwrittenBytes >= MAX_UNWRITTEN_BYTES;
        return !writeBlocked;
    }

    synchronized void onWriteQueued(long bytes, long now) {
        unwrittenSinceMicros = unwrittenReplies++ == 0 ? now : unwrittenSinceMicros;
        unwrittenBytes += bytes;
    }

    /** A reply has been written; true if others have been waiting and may now be written. */
    synchronized boolean onWritten(long bytes, long now) {
        unwrittenReplies--;
        unwrittenBytes -= bytes;
        unwrittenSinceMicros = now;
        boolean unblocked = writeBlocked && unwrittenBytes <= MAX_UNWRITTEN_BYTES / 2;
        writeBlocked &= !unblocked;
        return unblocked;
    }

    synchronized boolean hasUnreadReplySince(long since) {
        return unwrittenReplies > 0 && unwrittenSinceMicros < since;
    }

    /** True once the last reply has been handed over: the client has some time to read it and to close. */
    boolean isLingering() {
        return lingerUntilMicros > 0;
    }

    /** True if its place may be given to a newcomer. */
    boolean isEvictable() {
        return !closeRequested && (isLingering() || isIdle());
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
