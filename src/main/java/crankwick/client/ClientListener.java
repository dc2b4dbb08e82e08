package crankwick.client;

import crankwick.broker.BrokerEventSink;
import crankwick.broker.Reply;
import crankwick.routing.api.RoutingLimits;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
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
 * Owns the client connections of one protocol. On each connection the replies keep the order of the commands, each a
 * {@link ClientCommand}; a reply that is ready behind a command without one waits.
 *
 * <p>What a client may have open is bounded: a command beyond that is rejected in its place, clients that do not
 * send, go on or read in time are disconnected, and at the limit of connections those are evicted that need theirs
 * least. A connection is never closed upon a command that has been read: it ends on the thread that reads from it.
 */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    /** Statements of open commands may take so much of the heap. */
    private static final long MAX_STATEMENT_BYTES = Runtime.getRuntime().maxMemory() / 6;
    /** Values of replies that are not written yet may take so much of the heap. */
    private static final long MAX_REPLY_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private static final long OVER_LIMIT_RETRY_AFTER_MICROS = 100_000;

    private final EventLoop loop;
    private final Clock clock;
    private final CodecFilter codec;
    private final Attribute<ClientSession> sessionOfConnection = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));
    private final ClientCounters counters = new ClientCounters();
    private final ByteBudget statementBudget = new ByteBudget(MAX_STATEMENT_BYTES);
    private final ByteBudget replyBudget = new ByteBudget(MAX_REPLY_BYTES);
    private final AcceptLimiter acceptLimiter;
    private final OpenRequests requests;
    private final SessionTable sessions;
    private final OrderedReplyWriter writer;
    private final CommandAdmission admission;
    private final IdleSweeper sweeper;
    private volatile TCPNIOServerConnection listener;

    /** The codec is the one of the clients' protocol. */
    public ClientListener(
            BrokerEventSink broker, EventLoop loop, Clock clock, CodecFilter codec, ClientSettings settings) {
        this.loop = loop;
        this.clock = clock;
        this.codec = codec;
        Reply overLimitReply = overLimitReply(settings.routing().limits());
        acceptLimiter = new AcceptLimiter(settings.maxSessions());
        requests = new OpenRequests(broker);
        sessions = new SessionTable(loop, codec, requests, counters, settings.maxSessions());
        writer = new OrderedReplyWriter(loop, clock, sessions, requests, counters, overLimitReply);
        admission = new CommandAdmission(broker, clock, settings, sessions, requests, writer, overLimitReply);
        sweeper = new IdleSweeper(loop, clock, codec, sessions, writer);
    }

    private static Reply overLimitReply(RoutingLimits limits) {
        long retryAfter = Math.min(OVER_LIMIT_RETRY_AFTER_MICROS, limits.maxRetryAfter());
        return new Reply.Rejected(Reply.Reason.OVER_OPEN_COMMANDS, limits.retryAfterSupported() ? retryAfter : 0);
    }

    /** Binds the address and accepts connections. */
    public void listen(Transport transport, InetSocketAddress address) throws IOException {
        listener = transport.bind(address, codec, new Receiver());
        acceptLimiter.limit(listener);
        LOG.info("listening on {}", listener.getLocalAddress());
        sweeper.schedule();
    }

    /** From now on the empty query is answered, those that wait first. */
    public void markReady() {
        admission.markReady();
    }

    /** Stops listening; each connection ends once all that came in on it is answered, which is by then. */
    public void beginShutdown(long latestMicros) {
        writer.beginShutdown();
        admission.limitDeadlines(latestMicros);
        loop.schedule(Math.max(0, latestMicros - clock.now()), this::stopReading);
        if (listener != null) {
            listener.closeSilently();
        }
        for (ClientSession session : sessions.snapshot()) {
            writer.flush(session);
        }
    }

    /**
     * No time is left: requests that are still open fail, and what clients send on connections that never become
     * idle is left unread.
     */
    private void stopReading() {
        requests.expireAll();
        for (ClientSession session : sessions.snapshot()) {
            session.stopReading();
            writer.flush(session);
        }
    }

    /** True once the last connection has ended, also of those that the loop does not know yet. */
    public boolean hasNoConnections() {
        return acceptLimiter.hasNoConnections();
    }

    /** Where it listens; a port that was left open has been chosen by now. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** The counters of client connections, for a line in the log. */
    public String counters() {
        return counters + " open_bytes=" + statementBudget.reserved() + " answer_bytes=" + replyBudget.reserved();
    }

    /** The open command of a request; null once it is answered or abandoned. */
    public ClientCommand findCommand(long requestId) {
        return requests.find(requestId);
    }

    /** Gives a request its reply, unless it has been abandoned. */
    public void reply(long requestId, Reply reply) {
        ClientCommand command = requests.remove(requestId);
        if (command != null) {
            writer.reply(command, reply);
        }
    }

    private void onAccepted(ClientSession session) {
        session.idleSinceMicros = clock.now();
        if (!sessions.add(session)) {
            counters.countRejected();
            writer.endNow(
                    session,
                    new ClientReply.ConnectionError(ClientReply.Cause.TOO_MANY_CONNECTIONS, "too many connections"));
        }
    }

    private void onMessages(ClientSession session, List<ClientMessage> messages, long readAt) {
        for (ClientMessage message : messages) {
            admission.onMessage(session, message, readAt);
        }
    }

    /** The chain's last filter: hands what the codec has decoded over to the loop. */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            ClientSession session = new ClientSession(connection, statementBudget, replyBudget, counters);
            counters.countAccepted();
            sessionOfConnection.set(connection, session);
            acceptLimiter.onAccepted();
            loop.execute(() -> onAccepted(session));
            return context.getStopAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            ClientSession session = sessionOfConnection.peek(Transport.connection(context));
            List<ClientMessage> messages = context.getMessage();
            long readAt = clock.now();
            List<ClientMessage> admitted = session.read(messages);
            loop.execute(() -> onMessages(session, admitted, readAt));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ClientSession session = sessionOfConnection.peek(Transport.connection(context));
            if (session != null) {
                session.closed();
                acceptLimiter.onClosed();
                loop.execute(() -> sessions.onClosed(session));
            }
            return context.getStopAction();
        }
    }
}
