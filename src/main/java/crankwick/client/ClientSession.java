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
 * One client connection. Its plain fields belong to the loop; what the thread that reads from it shares with
 * the loop is reached through synchronized methods.
 *
 * <p>However much a client has open, reading from it goes on: only reading tells that it has closed or
 * cancelled. What it sends beyond the limits is taken in as {@link FrontMessage.Excess}, without its text.
 */
final class ClientSession {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A pause that hides a client's close for longer than this is worth a line. */
    private static final long LONG_PAUSE_MS = 50;

    /** What a client may have open: so many commands, and so many bytes of their statements. */
    private static final int MAX_OPEN_COMMANDS = 1_024;

    private static final long MAX_OPEN_BYTES = 1 << 20;
    /** Reading pauses, until the loop has caught up, at so many messages that it has not taken up. */
    private static final int MAX_UNTAKEN_MESSAGES = 4_096;
    /** Answers wait in their places while so many bytes of earlier ones are not written. */
    private static final long MAX_UNWRITTEN_BYTES = 256 * 1_024;

    final Connection<SocketAddress> connection;
    /** Commands in the order in which their answers go out. */
    final Deque<ClientCommand> commands = new ArrayDeque<>();

    String team;
    /** Whether a command has ever come in. */
    boolean asked;
    /** No command is taken any more: the connection ends behind the answers that are owed. */
    boolean ending;
    /** The connection is to be closed unless a command has just been read from it. */
    boolean closeRequested;

    long idleSince;
    /** When a connection that has had its last words is cut; 0 before. */
    long cutAt;

    private long messagesTaken;

    private final ByteBudget statements;
    private final ByteBudget answers;
    private final ClientCounters counters;
    /** Messages that are not answered yet, and those of them that are kept with their text. */
    private long unanswered;

    private int open;
    private long openBytes;
    /** Of answers that are not written yet. */
    private long answerBytes;

    private int untaken;
    private boolean paused;
    private long pausedAtNanos;
    private boolean readingStopped;
    private int unwritten;
    private long unwrittenBytes;
    private long unwrittenSince;
    /** Answers that are ready wait for room. */
    private boolean writesWait;

    private long messagesRead;
    /** Messages up to this one are cancelled. */
    private long cancelledTo;

    private boolean closed;

    ClientSession(
            Connection<SocketAddress> connection, ByteBudget statements, ByteBudget answers, ClientCounters counters) {
        this.connection = connection;
        this.statements = statements;
        this.answers = answers;
        this.counters = counters;
    }

    /**
     * Messages have been read; they are returned as they are to be handed to the loop, those beyond the limits
     * without their text. On the thread that reads.
     */
    synchronized List<ClientMessage> read(List<ClientMessage> messages) {
        List<ClientMessage> admitted = new ArrayList<>(messages.size());
        for (ClientMessage message : messages) {
            messagesRead++;
            if (message instanceof ClientMessage.Attention) {
                cancelledTo = messagesRead;
            }
            admitted.add(admit(message));
        }
        unanswered += messages.size();
        untaken += messages.size();
        if (!paused && untaken >= MAX_UNTAKEN_MESSAGES) {
            paused = true;
            pausedAtNanos = System.nanoTime();
            toggleReading(false);
        }
        return admitted;
    }

    private ClientMessage admit(ClientMessage message) {
        if (!(message instanceof ClientMessage.Query || message instanceof ClientMessage.Empty)) {
            return message;
        }
        int bytes = message.bytes();
        boolean fits = open < MAX_OPEN_COMMANDS && openBytes + bytes <= MAX_OPEN_BYTES && statements.reserve(bytes);
        if (!fits) {
            counters.excessCommands.incrementAndGet();
            return new ClientMessage.Excess();
        }
        open++;
        openBytes += bytes;
        return message;
    }

    /** The loop takes a message up: its number. */
    synchronized long nextMessage() {
        untaken--;
        if (paused && untaken <= MAX_UNTAKEN_MESSAGES / 2) {
            paused = false;
            noteResumed();
            toggleReading(!readingStopped);
        }
        return ++messagesTaken;
    }

    /** So many messages in a row like this one have their answers written, or none is owed. */
    synchronized void settled(ClientMessage message, long times) {
        unanswered -= times;
        if (message instanceof ClientMessage.Query || message instanceof ClientMessage.Empty) {
            open--;
            release(message.bytes());
        }
    }

    private void release(long bytes) {
        // Guards against giving back twice what the end of the connection has given back.
        long held = Math.min(bytes, openBytes);
        openBytes -= held;
        statements.release(held);
    }

    /** Takes an answer's bytes into account, until {@link #releaseAnswer}; false if they are too many. */
    synchronized boolean holdAnswer(long bytes) {
        if (closed) {
            return true;
        }
        boolean fits = answerBytes + bytes <= answers.maxOfOne() && answers.reserve(bytes);
        answerBytes += fits ? bytes : 0;
        return fits;
    }

    /** The same for an answer that can't be withheld. */
    synchronized void holdAnswerAnyway(long bytes) {
        if (!closed) {
            answers.force(bytes);
            answerBytes += bytes;
        }
    }

    /** An answer is written, or nobody wants it any more. */
    synchronized void releaseAnswer(long bytes) {
        long held = Math.min(bytes, answerBytes);
        answerBytes -= held;
        answers.release(held);
    }

    private void noteResumed() {
        long millis = (System.nanoTime() - pausedAtNanos) / NANOS_PER_MILLI;
        counters.countReadPause(millis);
        if (millis > LONG_PAUSE_MS) {
            LOG.info("client {}: reading was paused for {} ms", connection.getPeerAddress(), millis);
        }
    }

    /** Reads nothing more; what has been read is answered. */
    synchronized void stopReading() {
        readingStopped = true;
        toggleReading(false);
    }

    private void toggleReading(boolean wanted) {
        Transport.toggle(connection, IOEvent.READ, wanted);
    }

    /** The client has closed its connection, or it has been ended. On the thread that reads. */
    synchronized void closed() {
        closed = true;
        release(openBytes);
        releaseAnswer(answerBytes);
    }

    synchronized boolean isAbandoned(long message) {
        return closed || message > 0 && message <= cancelledTo;
    }

    /** True if something has been read that is not answered yet. */
    synchronized boolean isOwedAnAnswer() {
        return unanswered > 0;
    }

    /**
     * Closes the connection on the thread that reads from it, once what has arrived is read, so that nothing can
     * be read in between. It stays where a command has been read but not answered, or a part of one has come in:
     * {@code whenBusy}.
     */
    void closeUnlessBusy(CodecFilter codec, Runnable whenBusy) {
        Transport.afterReading(connection, () -> {
            if (isOwedAnAnswer() || !isReadingStopped() && codec.hasPartOfAValue(connection)) {
                whenBusy.run();
            } else {
                connection.terminateSilently();
            }
        });
    }

    private synchronized boolean isReadingStopped() {
        return readingStopped;
    }

    /** True if another answer may be written now; else {@link #written} tells when there is room. */
    synchronized boolean mayWrite() {
        writesWait = unwrittenBytes >= MAX_UNWRITTEN_BYTES;
        return !writesWait;
    }

    synchronized void writing(long bytes, long now) {
        unwrittenSince = unwritten++ == 0 ? now : unwrittenSince;
        unwrittenBytes += bytes;
    }

    /** An answer has been written; true if others have been waiting and now have room. */
    synchronized boolean written(long bytes, long now) {
        unwritten--;
        unwrittenBytes -= bytes;
        unwrittenSince = now;
        boolean room = writesWait && unwrittenBytes <= MAX_UNWRITTEN_BYTES / 2;
        writesWait &= !room;
        return room;
    }

    synchronized boolean isUnread(long since) {
        return unwritten > 0 && unwrittenSince < since;
    }

    boolean isIdle() {
        return commands.isEmpty() && cutAt == 0;
    }

    /** Who is at its end needs its place least, then who has never asked, then the longest idle. */
    boolean needsLessThan(ClientSession other) {
        return need() != other.need() ? need() < other.need() : idleSince < other.idleSince;
    }

    private int need() {
        return cutAt > 0 ? 0 : asked ? 2 : 1;
    }
}
