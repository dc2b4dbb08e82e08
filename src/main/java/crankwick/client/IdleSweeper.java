package crankwick.client;

import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;

/** Ends, at intervals, the sessions that do not send, go on or read in time. Lives on the event loop. */
final class IdleSweeper {
    private static final long SWEEP_INTERVAL_MICROS = 100_000;
    /** From being accepted, a client has so long to send a command. */
    private static final long FIRST_COMMAND_TIMEOUT_MICROS = 2_000_000;

    private static final long COMMAND_STALL_TIMEOUT_MICROS = 2_000_000;
    /** Replies that a client has not read for so long end its session. */
    private static final long UNREAD_REPLY_TIMEOUT_MICROS = 5_000_000;

    private static final long IDLE_TIMEOUT_MICROS = 10_000_000;
    /** In place of the idle timeout while the listener is crowded. */
    private static final long CROWDED_IDLE_TIMEOUT_MICROS = 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CodecFilter codec;
    private final SessionTable sessions;
    private final OrderedReplyWriter writer;

    IdleSweeper(EventLoop loop, Clock clock, CodecFilter codec, SessionTable sessions, OrderedReplyWriter writer) {
        this.loop = loop;
        this.clock = clock;
        this.codec = codec;
        this.sessions = sessions;
        this.writer = writer;
    }

    /** Sweeps after an interval, and so on. */
    void schedule() {
        loop.schedule(SWEEP_INTERVAL_MICROS, this::sweep);
    }

    private void sweep() {
        long now = clock.now();
        long idleTimeout = sessions.isCrowded() ? CROWDED_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
        for (ClientSession session : sessions.snapshot()) {
            check(session, now, idleTimeout);
        }
        schedule();
    }

    private void check(ClientSession session, long now, long idleTimeout) {
        if (isOverdue(session, now)) {
            session.connection.terminateSilently();
        } else if (!session.ending && codec.isStalled(session.connection, COMMAND_STALL_TIMEOUT_MICROS)) {
            codec.runIfStillStalled(
                    session.connection, COMMAND_STALL_TIMEOUT_MICROS, () -> loop.execute(() -> endStalled(session)));
        } else if (!session.ending && session.isIdle()) {
            endIfIdleTooLong(session, now, idleTimeout);
        }
    }

    private static boolean isOverdue(ClientSession session, long now) {
        return session.isLingering()
                ? session.lingerUntilMicros < now
                : session.hasUnreadReplySince(now - UNREAD_REPLY_TIMEOUT_MICROS);
    }

    private void endStalled(ClientSession session) {
        if (!session.ending && sessions.contains(session)) {
            writer.endWithError(session, ClientReply.Cause.PROTOCOL_ERROR, "a command without its end");
        }
    }

    private void endIfIdleTooLong(ClientSession session, long now, long idleTimeout) {
        if (writer.isShuttingDown() || session.hasSentCommand && session.idleSinceMicros < now - idleTimeout) {
            sessions.closeUnlessBusy(session);
        } else if (!session.hasSentCommand
                && session.idleSinceMicros < now - FIRST_COMMAND_TIMEOUT_MICROS
                && !session.isOwedReply()) {
            writer.endWithError(session, ClientReply.Cause.PROTOCOL_ERROR, "no command in time");
        }
    }
}
