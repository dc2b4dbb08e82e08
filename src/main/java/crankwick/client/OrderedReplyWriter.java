package crankwick.client;

import crankwick.broker.Reply;
import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.MessageBatch;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/**
 * Writes the replies of each session in the order of its commands, with a limit on the bytes that are handed to the
 * transport but not written. Closes sessions after their last reply. Confined to the event loop.
 */
final class OrderedReplyWriter {
    /** The size that is counted for a reply in addition to its value; an upper bound. */
    private static final int REPLY_OVERHEAD_BYTES = 256;
    /** Limits the time of one flush, as commands over the limits can have thousands of replies ready at once. */
    private static final int MAX_REPLIES_PER_FLUSH = 64;
    /** A batch of replies is written once its replies, counted with their overhead, have this size. */
    private static final long MAX_BATCH_BYTES = 16 * 1_024;
    /**
     * How long a connection stays open, with input read and dropped, after its last reply: closing with unread input
     * sends a reset, on which the client may lose that reply.
     */
    private static final long LINGER_MICROS = 2_000_000;

    private final EventLoop loop;
    private final Clock clock;
    private final SessionTable sessions;
    private final OpenRequests requests;
    private final ClientCounters counters;
    private final Reply overLimitReply;
    private Consumer<ClientSession> repliesLeftAction;
    private boolean shuttingDown;

    /** {@code overLimitReply} replaces a read's reply that exceeds the reply budget. */
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

    /** From now on, sessions are closed as soon as they are idle. */
    void beginShutdown() {
        shuttingDown = true;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Sets the action for a session that has more replies ready than one flush writes; it must flush again. */
    void onRepliesLeft(Consumer<ClientSession> action) {
        repliesLeftAction = action;
    }

    /** Defers the writes of a session until {@link #endTurn}, so that the replies of a turn are written at once. */
    void beginTurn(ClientSession session) {
        session.flushDeferred = true;
    }

    /** Writes the replies that became ready since {@link #beginTurn}. */
    void endTurn(ClientSession session) {
        session.flushDeferred = false;
        if (sessions.contains(session)) {
            flush(session);
        }
    }

    /**
     * Writes the replies that are ready, then closes the session if it is idle and either it is closing or the listener
     * is shutting down.
     */
    void flush(ClientSession session) {
        if (session.flushDeferred) {
            return;
        }
        writeReady(session);
        if (session.closing && session.isIdle()) {
            session.lingerUntilMicros = clock.now() + LINGER_MICROS;
            session.connection.closeSilently();
        } else if (shuttingDown && session.isIdle()) {
            sessions.closeUnlessBusy(session, CloseReason.SHUTDOWN);
        }
    }

    /**
     * Replies to a request. If a served read's reply exceeds the reply budget, a rejection replaces it, as the read may
     * be retried.
     */
    void reply(ClientCommand command, Reply reply) {
        command.reply = reserveOrReplace(command.session, reply);
        flush(command.session);
    }

    private ClientReply reserveOrReplace(ClientSession session, Reply reply) {
        ClientReply requestReply = new ClientReply.RequestReply(reply);
        if (!session.reserveReply(requestReply.valueBytes())) {
            if (reply instanceof Reply.Served served && !served.write()) {
                counters.countDroppedReply();
                return new ClientReply.RequestReply(overLimitReply);
            }
            session.reserveReplyUnchecked(requestReply.valueBytes());
        }
        return requestReply;
    }

    /** Closes a session with an error, which is sent after the replies to earlier commands. */
    void closeWithError(ClientSession session, CloseReason reason, ClientReply.Cause cause, String fault) {
        counters.countProtocolError();
        session.recordCloseReason(reason, fault);
        session.closing = true;
        ClientCommand error = new ClientCommand(session, requests.nextId(), null, null, 0, 0);
        error.reply = new ClientReply.ConnectionError(cause, fault);
        session.commands.add(error);
        flush(session);
    }

    /**
     * Writes the last reply without waiting for queued ones, then shuts down output; the client has limited time to
     * read the reply and to close.
     */
    void closeAfterReply(ClientSession session, ClientReply lastReply) {
        session.closing = true;
        session.lingerUntilMicros = clock.now() + LINGER_MICROS;
        session.connection.write(lastReply, new LastReplyHandler(session));
    }

    private void writeReady(ClientSession session) {
        ReplyBatch batch = new ReplyBatch(session);
        int replies = 0;
        while (mayWriteNext(session) && replies++ < MAX_REPLIES_PER_FLUSH) {
            ClientCommand command = session.commands.peek();
            if (--command.pendingReplies == 0) {
                session.commands.poll();
            }
            session.idleSinceMicros = clock.now();
            if (command.reply instanceof ClientReply.ConnectionError) {
                batch.write();
                closeAfterReply(session, command.reply);
                return;
            }
            session.onWriteQueued(bytesOf(command), clock.now());
            batch = batch.add(command);
        }
        batch.write();
        boolean repliesLeft = mayWriteNext(session);
        if (repliesLeft && !session.repliesLeft) {
            repliesLeftAction.accept(session);
        }
        session.repliesLeft = repliesLeft;
    }

    private static boolean mayWriteNext(ClientSession session) {
        return !session.commands.isEmpty()
                && session.commands.peek().reply != null
                && !session.isLingering()
                && session.mayWrite();
    }

    private static long bytesOf(ClientCommand command) {
        return REPLY_OVERHEAD_BYTES + command.reply.valueBytes();
    }

    private void onWritten(ClientSession session, ClientCommand command) {
        session.releaseReply(command.reply.valueBytes());
        boolean mayContinue = session.onWritten(bytesOf(command), clock.now());
        session.onAnswered(command.message, 1);
        if (mayContinue) {
            loop.execute(() -> flush(session));
        }
    }

    /**
     * Consecutive replies of a session that are written at once. Releases their reserved bytes once they are written,
     * on the thread that completed the write. Closes the connection if the write fails.
     */
    private final class ReplyBatch extends EmptyCompletionHandler<WriteResult<MessageBatch, SocketAddress>> {
        private final ClientSession session;
        private final List<ClientCommand> commands = new ArrayList<>(2);
        private long bytes;

        ReplyBatch(ClientSession session) {
            this.session = session;
        }

        /** Adds a command's reply; returns the batch for the next one, which is new if this one was full. */
        ReplyBatch add(ClientCommand command) {
            commands.add(command);
            bytes += bytesOf(command);
            if (bytes < MAX_BATCH_BYTES) {
                return this;
            }
            write();
            return new ReplyBatch(session);
        }

        void write() {
            if (!commands.isEmpty()) {
                List<ClientReply> replies = new ArrayList<>(commands.size());
                for (ClientCommand command : commands) {
                    replies.add(command.reply);
                }
                session.connection.write(new MessageBatch(replies), this);
            }
        }

        @Override
        public void completed(WriteResult<MessageBatch, SocketAddress> result) {
            for (ClientCommand command : commands) {
                onWritten(session, command);
            }
        }

        @Override
        public void failed(Throwable fault) {
            session.recordCloseReason(CloseReason.WRITE_FAILED);
            // The transport fails writes beyond its limit when the client does not read. Closing the connection keeps
            // its unwritten replies from accumulating.
            session.connection.terminateSilently();
        }
    }

    /** Shuts down output after a session's last reply. */
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
