package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import crankwick.broker.Reply;
import crankwick.statement.Statement;
import crankwick.transport.Clock;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the messages of clients: queues each command on its session, so that replies keep the order, and passes
 * requests to the broker. Confined to the event loop.
 */
final class CommandAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(CommandAdmission.class);
    private static final long MICROS_PER_MILLI = 1_000;

    private final BrokerEventSink broker;
    private final Clock clock;
    private final RequestDecoder decoder;
    private final Predicate<String> knownTeam;
    private final SessionTable sessions;
    private final OpenRequests requests;
    private final OrderedReplyWriter writer;
    private final Reply overLimitReply;
    private boolean ready;
    /**
     * The shutdown deadline, or {@code Long.MAX_VALUE}. It caps the deadlines of requests, as their own timeout may
     * exceed the time left.
     */
    private long shutdownDeadlineMicros = Long.MAX_VALUE;

    CommandAdmission(
            BrokerEventSink broker,
            Clock clock,
            ClientSettings settings,
            SessionTable sessions,
            OpenRequests requests,
            OrderedReplyWriter writer,
            Reply overLimitReply) {
        this.broker = broker;
        this.clock = clock;
        decoder = new RequestDecoder(settings.routing().requestClasses(), settings.classNames());
        knownTeam = settings.knownTeam();
        this.sessions = sessions;
        this.requests = requests;
        this.writer = writer;
        this.overLimitReply = overLimitReply;
    }

    /**
     * Marks the proxy as ready: replies to the empty queries that wait for this and, from now on, to each one that
     * arrives.
     */
    void markReady() {
        ready = true;
        for (ClientSession session : sessions.snapshot()) {
            for (ClientCommand command : session.commands) {
                if (command.statement() == null && command.reply == null) {
                    command.reply = new ClientReply.EmptyQueryResponse();
                }
            }
            writer.flush(session);
        }
    }

    /** Caps the deadlines of requests that are processed from now on. */
    void limitDeadlines(long deadlineMicros) {
        shutdownDeadlineMicros = deadlineMicros;
    }

    /** Whether the session's next message is a request that must wait until others are finished. */
    boolean mustWait(ClientSession session) {
        return !session.closing && session.isNextMessageLiveQuery() && requests.isWindowFull(session);
    }

    /** Processes a message, or several that share an entry. */
    void onMessage(ClientSession session, ReceivedMessage received) {
        ClientMessage message = received.message;
        long number = session.inbox.lastMessageNumber();
        long readAt = received.readAt;
        if (session.closing || !sessions.contains(session)) {
            session.onAnswered(message, received.count());
        } else if (message instanceof ClientMessage.Query query) {
            session.hasSentCommand = true;
            onQuery(session, query, number, readAt);
        } else if (message instanceof ClientMessage.EmptyQuery) {
            session.hasSentCommand = true;
            add(new ClientCommand(session, requests.nextId(), null, message, number, readAt), emptyQueryReply());
        } else if (message instanceof ClientMessage.OverLimit) {
            onOverLimit(session, received, number);
        } else if (message instanceof ClientMessage.Login login) {
            onLogin(session, login, number, readAt);
        } else if (message instanceof ClientMessage.Cancel) {
            requests.abandon(session, AbandonReason.CANCELLED);
            ClientCommand command = new ClientCommand(session, requests.nextId(), null, message, number, readAt);
            add(command, new ClientReply.CancelAcknowledged());
        } else if (message instanceof ClientMessage.ProtocolError error) {
            LOG.debug(
                    "client {}: protocol error, closing the connection: {}",
                    session.connection.getPeerAddress(),
                    error.fault());
            writer.closeWithError(session, CloseReason.PROTOCOL_ERROR, ClientReply.Cause.PROTOCOL_ERROR, error.fault());
        } else {
            session.recordCloseReason(CloseReason.CLIENT_TERMINATED);
            session.closing = true;
            session.onAnswered(message, 1);
            writer.flush(session);
        }
    }

    private ClientReply emptyQueryReply() {
        return ready ? new ClientReply.EmptyQueryResponse() : null;
    }

    private void onLogin(ClientSession session, ClientMessage.Login login, long number, long readAt) {
        if (knownTeam.test(login.team())) {
            session.team = login.team();
            ClientCommand command = new ClientCommand(session, requests.nextId(), null, login, number, readAt);
            add(command, new ClientReply.LoginAccepted());
        } else {
            writer.closeWithError(session, CloseReason.UNKNOWN_TEAM, ClientReply.Cause.UNKNOWN_TEAM, "unknown team");
        }
    }

    private void onQuery(ClientSession session, ClientMessage.Query query, long number, long readAt) {
        if (session.isAbandoned(number)) {
            session.onAnswered(query, 1);
            return;
        }
        Statement statement;
        try {
            statement = decoder.decode(query.text());
        } catch (IllegalArgumentException e) {
            ClientCommand invalid = new ClientCommand(session, requests.nextId(), null, query, number, readAt);
            add(invalid, new ClientReply.InvalidStatement(e.getMessage()));
            return;
        }
        ClientCommand command = new ClientCommand(session, requests.nextId(), statement, query, number, readAt);
        if (session.hasLongUnreadInput()) {
            session.countOverLimitCommand();
            add(command, new ClientReply.RequestReply(overLimitReply));
            return;
        }
        requests.add(command);
        add(command, null);
        // The timeout counts from when the command was read; the loop may have processed it late.
        long now = clock.now();
        long remaining = Math.min(readAt + statement.timeoutMillis() * MICROS_PER_MILLI, shutdownDeadlineMicros) - now;
        broker.publish(new BrokerEvent.RequestReceived(decoder.request(command, Math.max(1, remaining))));
    }

    /** Consecutive commands over the limits share one queue entry, so that memory use stays bounded. */
    private void onOverLimit(ClientSession session, ReceivedMessage received, long number) {
        ClientCommand last = session.commands.peekLast();
        if (last != null && last.message instanceof ClientMessage.OverLimit) {
            last.pendingReplies += received.count();
            writer.flush(session);
        } else {
            ClientCommand command =
                    new ClientCommand(session, requests.nextId(), null, received.message, number, received.readAt);
            command.pendingReplies = received.count();
            add(command, new ClientReply.RequestReply(overLimitReply));
        }
    }

    /**
     * Queues a command on its session and writes the replies that are ready; {@code reply} is null if it is not
     * available yet.
     */
    private void add(ClientCommand command, ClientReply reply) {
        command.reply = reply;
        command.session.commands.add(command);
        writer.flush(command.session);
    }
}
