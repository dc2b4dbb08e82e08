package crankwick.client;

import crankwick.broker.BrokerEventSink;
import crankwick.broker.Reply;
import crankwick.routing.api.RoutingLimits;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.SelectorLagMonitor;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the client connections of one protocol. On each connection, replies are sent in the order of the commands, each
 * a {@link ClientCommand}: a reply is queued until all earlier commands are answered.
 *
 * <p>The commands that a client may have open are limited; a command over the limits is rejected, with its reply in
 * order. A client is disconnected if it does not send a command, complete a partly sent command or read its replies in
 * time. If a new connection exceeds the connection limit, a lingering or idle session is evicted. An idle connection is
 * closed on the thread that reads from it, so that no command is read between the idle check and the close.
 */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    private static final long OVER_LIMIT_RETRY_AFTER_MICROS = 100_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CodecFilter codec;
    private final Attribute<ClientSession> sessionOfConnection = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));
    private final ClientCounters counters = new ClientCounters();
    private final ClientBudgets budgets = new ClientBudgets();
    private final AcceptLimiter acceptLimiter;
    private final OpenRequests requests;
    private final SessionTable sessions;
    private final OrderedReplyWriter writer;
    private final CommandAdmission admission;
    private final IdleSweeper sweeper;
    private final MessageScheduler scheduler;
    private volatile TCPNIOServerConnection listener;

    /** Creates a listener for the protocol that {@code codec} implements. */
    public ClientListener(
            BrokerEventSink broker, EventLoop loop, Clock clock, CodecFilter codec, ClientSettings settings) {
        this.loop = loop;
        this.clock = clock;
        this.codec = codec;
        Reply overLimitReply = overLimitReply(settings.routing().limits());
        acceptLimiter = new AcceptLimiter(settings.maxSessions());
        requests = new OpenRequests(broker, this::onRequestFinished);
        sessions = new SessionTable(loop, requests, counters, new CloseLog(clock, counters), settings.maxSessions());
        writer = new OrderedReplyWriter(loop, clock, sessions, requests, counters, overLimitReply);
        admission = new CommandAdmission(broker, clock, settings, sessions, requests, writer, overLimitReply);
        sweeper = new IdleSweeper(loop, clock, codec, sessions, writer);
        scheduler = new MessageScheduler(loop, new SessionMessageHandler(), counters);
        writer.onRepliesLeft(scheduler::scheduleReplies);
        codec.limitInputMemory(loop, this::onFault);
    }

    private static Reply overLimitReply(RoutingLimits limits) {
        long retryAfter = Math.min(OVER_LIMIT_RETRY_AFTER_MICROS, limits.maxRetryAfter());
        return new Reply.Rejected(Reply.Reason.OVER_OPEN_COMMANDS, limits.retryAfterSupported() ? retryAfter : 0);
    }

    /** Binds the address and accepts connections. */
    public void listen(Transport transport, InetSocketAddress address) throws IOException {
        listener = transport.bind(address, codec, new Receiver());
        acceptLimiter.attach(listener);
        LOG.info("listening on {}", listener.getLocalAddress());
        sweeper.start(new SelectorLagMonitor(listener));
    }

    /**
     * Marks the proxy as ready: replies to the empty queries that wait for this and, from now on, to each one that
     * arrives.
     */
    public void markReady() {
        admission.markReady();
    }

    /**
     * Stops accepting connections and closes each open connection once it is idle. Requests that are still unanswered
     * at {@code deadlineMicros}, in microseconds of Unix time, fail.
     */
    public void beginShutdown(long deadlineMicros) {
        writer.beginShutdown();
        admission.limitDeadlines(deadlineMicros);
        loop.schedule(Math.max(0, deadlineMicros - clock.now()), this::stopReading);
        if (listener != null) {
            listener.closeSilently();
        }
        for (ClientSession session : sessions.snapshot()) {
            writer.flush(session);
        }
    }

    /**
     * Runs at the shutdown deadline: fails unanswered requests and stops reading, so that a connection whose client
     * keeps sending also becomes idle and closes.
     */
    private void stopReading() {
        requests.expireAll();
        for (ClientSession session : sessions.snapshot()) {
            session.inbox.stopReading();
            writer.flush(session);
        }
    }

    /**
     * True if no client connection is open. A connection counts as open as soon as the transport has accepted it, even
     * if the event loop has not processed the accept yet.
     */
    public boolean hasNoConnections() {
        return acceptLimiter.hasNoConnections();
    }

    /** The listening address, with the port that was assigned if the configured port is 0. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** The counters of client connections, formatted for a log line. */
    public String counters() {
        return counters + " open_bytes=" + budgets.statements().reserved() + " answer_bytes="
                + budgets.replies().reserved() + " " + codec.inputCounters();
    }

    /** The command of an unanswered request; null if the request is answered or abandoned. */
    public ClientCommand findCommand(long requestId) {
        return requests.find(requestId);
    }

    /** Replies to a request; does nothing if the request is already answered or abandoned. */
    public void reply(long requestId, Reply reply) {
        ClientCommand command = requests.remove(requestId);
        if (command != null) {
            writer.reply(command, reply);
        }
    }

    private void onRequestFinished(ClientSession session) {
        scheduler.onRequestFinished(session);
    }

    private void onFault(Connection<?> connection, Object protocolError) {
        onMessagesRead(sessionOfConnection.peek(connection), List.of((ClientMessage) protocolError));
    }

    private void onMessagesRead(ClientSession session, List<ClientMessage> messages) {
        session.onMessagesRead(messages, clock.now());
        scheduler.schedule(session);
    }

    private void onAccepted(ClientSession session) {
        session.idleSinceMicros = clock.now();
        if (!sessions.add(session)) {
            counters.countRejected();
            session.recordCloseReason(CloseReason.TOO_MANY_CONNECTIONS);
            writer.closeAfterReply(
                    session,
                    new ClientReply.ConnectionError(ClientReply.Cause.TOO_MANY_CONNECTIONS, "too many connections"));
        }
    }

    /** Passes the messages of sessions on, each session after its registration. */
    private final class SessionMessageHandler implements MessageScheduler.Handler {
        @Override
        public void onAccepted(ClientSession session) {
            ClientListener.this.onAccepted(session);
        }

        @Override
        public boolean mustWait(ClientSession session) {
            return admission.mustWait(session);
        }

        @Override
        public void beginTurn(ClientSession session) {
            writer.beginTurn(session);
        }

        @Override
        public void endTurn(ClientSession session) {
            writer.endTurn(session);
        }

        @Override
        public void onMessage(ClientSession session, ReceivedMessage received) {
            admission.onMessage(session, received);
        }

        @Override
        public void onClosed(ClientSession session) {
            sessions.onClosed(session);
        }
    }

    /**
     * The last filter of the chain: counts accepted connections, and passes accepts, decoded messages and closes to the
     * event loop.
     */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            ClientSession session = new ClientSession(connection, codec, budgets, counters);
            counters.countAccepted();
            sessionOfConnection.set(connection, session);
            acceptLimiter.onAccepted();
            scheduler.schedule(session);
            return context.getStopAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            ClientSession session = sessionOfConnection.peek(Transport.connection(context));
            List<ClientMessage> messages = context.getMessage();
            onMessagesRead(session, messages);
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ClientSession session = sessionOfConnection.peek(Transport.connection(context));
            if (session != null) {
                session.onClosed();
                acceptLimiter.onClosed();
                scheduler.scheduleClosed(session);
            }
            return context.getStopAction();
        }
    }
}
