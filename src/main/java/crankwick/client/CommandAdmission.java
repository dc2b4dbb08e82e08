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
 * Takes up what clients have sent: gives each command its place among the replies of its session, and passes requests
 * on to the broker. Lives on the event loop.
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
    /** By then all has to be answered: a request that still comes in may want more time than is left. */
    private long answerByMicros = Long.MAX_VALUE;

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

    /** From now on the empty query is answered; those that wait are answered now. */
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

    /** No request is given longer than until then. */
    void limitDeadlines(long latestMicros) {
        answerByMicros = latestMicros;
    }

    /** Takes up a message that was read at {@code readAt}. */
    void onMessage(ClientSession session, ClientMessage message, long readAt) {
        long number = session.nextMessage();
        if (session.ending || !sessions.contains(session)) {
            session.onAnswered(message, 1);
        } else if (message instanceof ClientMessage.Query query) {
            session.hasSentCommand = true;
            onQuery(session, query, number, readAt);
        } else if (message instanceof ClientMessage.EmptyQuery) {
            session.hasSentCommand = true;
            add(new ClientCommand(session, requests.nextId(), null, message, number, readAt), emptyQueryReply());
        } else if (message instanceof ClientMessage.OverLimit) {
            onOverLimit(session, message, number, readAt);
        } else if (message instanceof ClientMessage.Login login) {
            onLogin(session, login, number, readAt);
        } else if (message instanceof ClientMessage.Cancel) {
            requests.abandon(session, AbandonReason.CANCELLED);
            ClientCommand command = new ClientCommand(session, requests.nextId(), null, message, number, readAt);
            add(command, new ClientReply.CancelAcknowledged());
        } else if (message instanceof ClientMessage.ProtocolError error) {
            LOG.debug("client {}: {}", session.connection.getPeerAddress(), error.fault());
            writer.endWithError(session, ClientReply.Cause.PROTOCOL_ERROR, error.fault());
        } else {
            session.ending = true;
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
            writer.endWithError(session, ClientReply.Cause.UNKNOWN_TEAM, "unknown team");
        }
    }

    private void onQuery(ClientSession session, ClientMessage.Query query, long number, long readAt) {
        Statement statement;
        try {
            statement = decoder.decode(query.text());
        } catch (IllegalArgumentException e) {
            ClientCommand invalid = new ClientCommand(session, requests.nextId(), null, query, number, readAt);
            add(invalid, new ClientReply.InvalidStatement(e.getMessage()));
            return;
        }
        ClientCommand command = new ClientCommand(session, requests.nextId(), statement, query, number, readAt);
        requests.add(command);
        add(command, null);
        // The client has been waiting since its command was read; the loop may have been late since.
        long now = clock.now();
        long remaining = Math.min(readAt + statement.timeoutMillis() * MICROS_PER_MILLI, answerByMicros) - now;
        broker.publish(new BrokerEvent.RequestReceived(decoder.request(command, Math.max(1, remaining))));
    }

    /** Commands in a row beyond the limits share one place, so that what is kept of them stays bounded. */
    private void onOverLimit(ClientSession session, ClientMessage message, long number, long readAt) {
        ClientCommand last = session.commands.peekLast();
        if (last != null && last.message instanceof ClientMessage.OverLimit) {
            last.repeatCount++;
            writer.flush(session);
        } else {
            ClientCommand command = new ClientCommand(session, requests.nextId(), null, message, number, readAt);
            add(command, new ClientReply.RequestReply(overLimitReply));
        }
    }

    /** Gives a command its place; its reply is null while there is none. */
    private void add(ClientCommand command, ClientReply reply) {
        command.reply = reply;
        command.session.commands.add(command);
        writer.flush(command.session);
    }
}
