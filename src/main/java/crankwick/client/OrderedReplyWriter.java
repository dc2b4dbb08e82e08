package crankwick.client;

import crankwick.broker.Reply;
import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * Writes the replies of each session in the order of its commands, and only so many bytes ahead of what the client
 * reads. Closes sessions behind their last reply. Lives on the event loop.
 */
final class OrderedReplyWriter {
    /** What a reply takes besides its value, at most. */
    private static final int REPLY_OVERHEAD_BYTES = 256;
    /** After the last reply, what comes in is dropped for so long: a reset would destroy that reply. */
    private static final long LINGER_MICROS = 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final SessionTable sessions;
    private final OpenRequests requests;
    private final ClientCounters counters;
    private final Reply overLimitReply;
    private boolean shuttingDown;

    /** {@code overLimitReply} takes the place of a read's reply for which there is no memory. */
    OrderedReplyWriter(
            EventLoop loop,
            Clock clock,
            SessionTable sessions,
            OpenRequests requests,
            ClientCounters counters,
            Reply overLimitReply) {
        this.loop = loop;
        this.clock = clock;
        this.sessions = sessions;
        this.requests = requests;
        this.counters = counters;
        this.overLimitReply = overLimitReply;
    }

    /** From now on a session is closed as soon as it is idle. */
    void beginShutdown() {
        shuttingDown = true;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Writes what is ready, and closes the session if nothing more is to come. */
    void flush(ClientSession session) {
        writeReady(session);
        if (session.ending && session.isIdle()) {
            session.lingerUntilMicros = clock.now() + LINGER_MICROS;
            session.connection.closeSilently();
        } else if (shuttingDown && session.isIdle()) {
            sessions.closeUnlessBusy(session);
        }
    }

    /** Replies to a request; a read's reply for which there is no memory is dropped, as it may be asked for again. */
    void reply(ClientCommand command, Reply reply) {
        command.reply = reserved(command.session, reply);
        flush(command.session);
    }

    private ClientReply reserved(ClientSession session, Reply reply) {
        ClientReply complete = new ClientReply.RequestReply(reply);
        if (!session.reserveReply(complete.valueBytes())) {
            if (reply instanceof Reply.Served served && !served.write()) {
                counters.countDroppedReply();
                return new ClientReply.RequestReply(overLimitReply);
            }
            session.forceReserveReply(complete.valueBytes());
        }
        return complete;
    }

    /** Ends a session with an error in its place: the replies to earlier commands go out first. */
    void endWithError(ClientSession session, ClientReply.Cause cause, String fault) {
        counters.countProtocolError();
        session.ending = true;
        ClientCommand error = new ClientCommand(session, requests.nextId(), null, null, 0, 0);
        error.reply = new ClientReply.ConnectionError(cause, fault);
        session.commands.add(error);
        flush(session);
    }

    /** Writes the last reply at once and ends the sending; the client has some time to read it and to close. */
    void endNow(ClientSession session, ClientReply lastReply) {
        session.ending = true;
        session.lingerUntilMicros = clock.now() + LINGER_MICROS;
        session.connection.write(lastReply, new LastReplyHandler(session));
    }

    private void writeReady(ClientSession session) {
        while (!session.commands.isEmpty()
                && session.commands.peek().reply != null
                && !session.isLingering()
                && session.mayWrite()) {
            ClientCommand command = session.commands.peek();
            if (--command.repeatCount == 0) {
                session.commands.poll();
            }
            session.idleSinceMicros = clock.now();
            if (command.reply instanceof ClientReply.ConnectionError) {
                endNow(session, command.reply);
            } else {
                write(session, command);
            }
        }
    }

    private void write(ClientSession session, ClientCommand command) {
        long bytes = REPLY_OVERHEAD_BYTES + command.reply.valueBytes();
        session.onWriteQueued(bytes, clock.now());
        session.connection.write(command.reply, new ReplyHandler(session, command, bytes));
    }

    private void onWritten(ClientSession session, ClientCommand command, long bytes) {
        session.releaseReply(command.reply.valueBytes());
        boolean mayContinue = session.onWritten(bytes, clock.now());
        session.onAnswered(command.message, 1);
        if (mayContinue) {
            loop.execute(() -> flush(session));
        }
    }

    /** Takes a reply off the books once it is written, on whichever thread wrote it. */
    private final class ReplyHandler extends EmptyCompletionHandler<WriteResult<ClientReply, SocketAddress>> {
        private final ClientSession session;
        private final ClientCommand command;
        private final long bytes;

        ReplyHandler(ClientSession session, ClientCommand command, long bytes) {
            this.session = session;
            this.command = command;
            this.bytes = bytes;
        }

        @Override
        public void completed(WriteResult<ClientReply, SocketAddress> result) {
            onWritten(session, command, bytes);
        }

        @Override
        public void failed(Throwable fault) {
            // Guards against a client that does not read: its unwritten replies must not pile up.
            session.connection.terminateSilently();
        }
    }

    /** Ends the sending behind a session's last reply. */
    private static final class LastReplyHandler
            extends EmptyCompletionHandler<WriteResult<ClientReply, SocketAddress>> {
        private final ClientSession session;

        LastReplyHandler(ClientSession session) {
            this.session = session;
        }

        @Override
        public void completed(WriteResult<ClientReply, SocketAddress> result) {
            Transport.shutdownOutput(session.connection);
        }

        @Override
        public void failed(Throwable fault) {
            session.connection.terminateSilently();
        }
    }
}
