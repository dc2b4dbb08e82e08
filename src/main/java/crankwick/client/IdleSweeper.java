package crankwick.client;

import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.SelectorLagMonitor;
import java.util.List;

/**
 * Periodically closes sessions whose clients do not send a command, complete a partly sent command or read replies in
 * time. Confined to the event loop.
 */
final class IdleSweeper {
    private static final long SWEEP_INTERVAL_MICROS = 100_000;
    /**
     * The idle timeout of a session before its first command; it restarts whenever a reply is written, such as the
     * reply to a login.
     */
    private static final long FIRST_COMMAND_TIMEOUT_MICROS = 2_000_000;

    private static final long COMMAND_STALL_TIMEOUT_MICROS = 2_000_000;
    /** A session is closed if none of its unwritten replies could be written for this long. */
    private static final long UNREAD_REPLY_TIMEOUT_MICROS = 5_000_000;

    private static final long IDLE_TIMEOUT_MICROS = 10_000_000;
    /** Replaces {@link #IDLE_TIMEOUT_MICROS} while there are more sessions than half of the session limit. */
    private static final long REDUCED_IDLE_TIMEOUT_MICROS = 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CodecFilter codec;
    private final SessionTable sessions;
    private final OrderedReplyWriter writer;
    private final BusiestClientReporter busiestClient = new BusiestClientReporter();
    private SelectorLagMonitor selectorLag;

    IdleSweeper(EventLoop loop, Clock clock, CodecFilter codec, SessionTable sessions, OrderedReplyWriter writer) {
        this.loop = loop;
        this.clock = clock;
        this.codec = codec;
        this.sessions = sessions;
        this.writer = writer;
    }

    /** Schedules the first sweep; each sweep schedules the next one, and measures the delay of the selector thread. */
    void start(SelectorLagMonitor selectorLagMonitor) {
        selectorLag = selectorLagMonitor;
        schedule();
    }

    private void schedule() {
        loop.schedule(SWEEP_INTERVAL_MICROS, this::sweep);
    }

    private void sweep() {
        long now = clock.now();
        long idleTimeout = sessions.isOverHalfFull() ? REDUCED_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
        List<ClientSession> snapshot = sessions.snapshot();
        for (ClientSession session : snapshot) {
            check(session, now, idleTimeout);
        }
        busiestClient.report(snapshot, now);
        selectorLag.measure();
        schedule();
    }

    private void check(ClientSession session, long now, long idleTimeout) {
        if (isOverdue(session, now)) {
            session.recordCloseReason(CloseReason.UNREAD_REPLIES);
            session.connection.terminateSilently();
        } else if (!session.closing && codec.isStalled(session.connection, COMMAND_STALL_TIMEOUT_MICROS)) {
            codec.runIfStillStalled(
                    session.connection, COMMAND_STALL_TIMEOUT_MICROS, () -> loop.execute(() -> closeStalled(session)));
        } else if (!session.closing && session.isIdle()) {
            closeIfIdleTooLong(session, now, idleTimeout);
        }
    }

    private static boolean isOverdue(ClientSession session, long now) {
        return session.isLingering()
                ? session.lingerUntilMicros < now
                : session.hasUnwrittenReplySince(now - UNREAD_REPLY_TIMEOUT_MICROS);
    }

    private void closeStalled(ClientSession session) {
        if (!session.closing && sessions.contains(session)) {
            writer.closeWithError(
                    session,
                    CloseReason.INCOMPLETE_COMMAND,
                    ClientReply.Cause.PROTOCOL_ERROR,
                    "a command without its end");
        }
    }

    private void closeIfIdleTooLong(ClientSession session, long now, long idleTimeout) {
        if (writer.isShuttingDown() || session.hasSentCommand && session.idleSinceMicros < now - idleTimeout) {
            sessions.closeUnlessBusy(session, writer.isShuttingDown() ? CloseReason.SHUTDOWN : CloseReason.IDLE);
        } else if (!session.hasSentCommand
                && session.idleSinceMicros < now - FIRST_COMMAND_TIMEOUT_MICROS
                && !session.hasUnansweredMessage()) {
            writer.closeWithError(
                    session, CloseReason.NO_COMMAND, ClientReply.Cause.PROTOCOL_ERROR, "no command in time");
        }
    }
}
