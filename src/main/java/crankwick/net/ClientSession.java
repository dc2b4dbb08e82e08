package crankwick.net;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client connection. Its plain fields belong to the loop; what the thread that reads from it shares with
 * the loop is reached through synchronized methods.
 */
final class ClientSession {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** A pause that hides a client's close for longer than this is worth a line. */
    private static final long LONG_PAUSE_MS = 50;

    /** Reading stops at so many commands that are not answered, or so many bytes of them. */
    private static final int MAX_UNANSWERED_COMMANDS = 1_024;

    private static final int MAX_UNANSWERED_BYTES = 64 * 1_024;

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

    private int unanswered;
    private int unansweredBytes;
    private boolean paused;
    private long pausedAtNanos;
    private final FrontCounters counters;
    private boolean readingStopped;
    private int unwritten;
    private long unwrittenSince;
    private long messagesRead;
    /** Messages up to this one are cancelled. */
    private long cancelledTo;

    private boolean closed;

    ClientSession(Connection<SocketAddress> connection, FrontCounters counters) {
        this.connection = connection;
        this.counters = counters;
    }

    /** Messages have been read: with too much unanswered, no more is. On the thread that reads. */
    synchronized void read(List<FrontMessage> messages) {
        for (FrontMessage message : messages) {
            messagesRead++;
            unansweredBytes += message.bytes();
            if (message instanceof FrontMessage.Attention) {
                cancelledTo = messagesRead;
            }
        }
        unanswered += messages.size();
        if (!paused && (unanswered >= MAX_UNANSWERED_COMMANDS || unansweredBytes >= MAX_UNANSWERED_BYTES)) {
            paused = true;
            pausedAtNanos = System.nanoTime();
            toggleReading(false);
        }
    }

    /** The number of the message that the loop takes up next. */
    long nextMessage() {
        return ++messagesTaken;
    }

    /** A command's answer is written, or none is owed. */
    synchronized void settled(int bytes) {
        unanswered--;
        unansweredBytes -= bytes;
        boolean little = unanswered <= MAX_UNANSWERED_COMMANDS / 2 && unansweredBytes <= MAX_UNANSWERED_BYTES / 2;
        if (paused && little) {
            paused = false;
            noteResumed();
            toggleReading(!readingStopped);
        }
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

    /** The client has closed its connection. On the thread that reads. */
    synchronized void closed() {
        closed = true;
    }

    synchronized boolean isAbandoned(long message) {
        return closed || message > 0 && message <= cancelledTo;
    }

    /** True if something has been read that is not answered yet. */
    synchronized boolean isOwedAnAnswer() {
        return unanswered > 0;
    }

    /**
     * Closes the connection on the thread that reads from it, so that nothing can be read in between. It
     * stays where a command has been read but not answered, or a part of one has come in: {@code whenBusy}.
     */
    void closeUnlessBusy(CodecFilter codec, Runnable whenBusy) {
        Transport.whereItReads(connection, () -> {
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

    synchronized void writing(long now) {
        unwrittenSince = unwritten++ == 0 ? now : unwrittenSince;
    }

    synchronized void written(long now) {
        unwritten--;
        unwrittenSince = now;
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
