package crankwick.emulator;

import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.database.EmulatedResponse;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.statement.Statement;
import crankwick.transport.EventLoop;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.glassfish.grizzly.Connection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The connections of proxies to all members, and the exchanges in flight on them. Used only on the event loop. */
final class MemberConnections {
    private static final Logger LOG = LoggerFactory.getLogger(MemberConnections.class);
    /**
     * How long an earlier attempt may seem in flight when the request's next attempt arrives: the loop may learn only
     * then, or later, that the proxy has closed the earlier connection.
     */
    private static final long CLOSE_DETECTION_GRACE_MICROS = 250_000;

    private static final long MICROS_PER_MILLI = 1_000;
    /** The prefix of statements, which begin with a comment; health checks have none. */
    private static final String STATEMENT_PREFIX = "/*";

    private final EventLoop loop;
    private final ExecutionLog executionLog;
    private final BiConsumer<EmulatedGroup, ModelEvent> eventHandler;
    private final Map<Connection<SocketAddress>, EmulatedConnection> connections = new HashMap<>();
    private final Map<Long, EmulatedConnection> connectionByExchange = new HashMap<>();
    private final Map<String, EmulatedConnection> connectionByRequest = new HashMap<>();
    private long lastExchangeId;

    MemberConnections(EventLoop loop, ExecutionLog executionLog, BiConsumer<EmulatedGroup, ModelEvent> eventHandler) {
        this.loop = loop;
        this.executionLog = executionLog;
        this.eventHandler = eventHandler;
    }

    void onAccepted(EmulatedGroup group, int member, Connection<SocketAddress> connection) {
        connections.put(connection, new EmulatedConnection(group, member, connection));
    }

    void onMessages(Connection<SocketAddress> connection, List<ClientMessage> messages) {
        EmulatedConnection emulated = connections.get(connection);
        if (emulated != null) {
            messages.forEach(message -> onMessage(emulated, message));
        }
    }

    void onClosed(Connection<SocketAddress> connection) {
        EmulatedConnection emulated = connections.get(connection);
        if (emulated != null) {
            remove(emulated);
        }
    }

    private void onMessage(EmulatedConnection connection, ClientMessage message) {
        if (message instanceof ClientMessage.Login) {
            if (connection.group().model().isResponsive(connection.member())) {
                acceptLogin(connection);
            } else {
                connection.setLoginPending(true);
            }
        } else if (message instanceof ClientMessage.Query query) {
            onQuery(connection, query.text());
        } else if (message instanceof ClientMessage.EmptyQuery) {
            connection.connection().write(new ClientReply.EmptyQueryResponse());
        } else {
            connection.connection().terminateSilently();
        }
    }

    private void acceptLogin(EmulatedConnection connection) {
        connection.setLoginPending(false);
        connection.connection().write(new ClientReply.LoginAccepted());
    }

    private void onQuery(EmulatedConnection connection, String text) {
        long exchangeId = ++lastExchangeId;
        boolean healthCheck = !text.startsWith(STATEMENT_PREFIX);
        connection.beginExchange(exchangeId, healthCheck);
        connectionByExchange.put(exchangeId, connection);
        if (healthCheck) {
            eventHandler.accept(
                    connection.group(), new ModelEvent.HealthCheckReceived(exchangeId, connection.member()));
            return;
        }
        try {
            onStatement(connection, Statement.parse(text));
        } catch (IllegalArgumentException e) {
            LOG.warn("malformed statement; closing its connection: {}", text);
            connectionByExchange.remove(connection.exchangeId());
            connection.connection().terminateSilently();
        }
    }

    private void onStatement(EmulatedConnection connection, Statement statement) {
        connection.setStatement(statement.requestId(), statement.idempotencyKey() != null);
        EmulatedConnection earlier = connectionByRequest.put(statement.requestId(), connection);
        if (earlier != null) {
            checkConcurrentAttempt(earlier);
        }
        eventHandler.accept(
                connection.group(),
                new ModelEvent.StatementReceived(
                        connection.exchangeId(),
                        connection.member(),
                        statement.idempotencyKey(),
                        Math.max(0, statement.requiredPositionMillis() * MICROS_PER_MILLI)));
    }

    /** Records a concurrent attempt if the request's earlier attempt is still in flight after the grace period. */
    private void checkConcurrentAttempt(EmulatedConnection earlier) {
        long earlierExchange = earlier.exchangeId();
        loop.schedule(CLOSE_DETECTION_GRACE_MICROS, () -> {
            boolean stillOpen = connections.get(earlier.connection()) == earlier;
            if (stillOpen && earlier.exchangeId() == earlierExchange) {
                executionLog.recordConcurrentAttempt();
            }
        });
    }

    private void remove(EmulatedConnection connection) {
        connections.remove(connection.connection());
        if (connection.hasExchange() && connectionByExchange.remove(connection.exchangeId()) != null) {
            connectionByRequest.remove(connection.requestId(), connection);
            eventHandler.accept(connection.group(), new ModelEvent.ConnectionClosed(connection.exchangeId()));
        }
    }

    /** Sends the response of an exchange, if its connection is still open. */
    void respond(ModelEffect.ResponseSent response) {
        EmulatedConnection connection = connectionByExchange.remove(response.exchangeId());
        if (connection == null) {
            return;
        }
        connection.endExchange();
        connectionByRequest.remove(connection.requestId(), connection);
        connection
                .connection()
                .write(new EmulatedResponse(
                        response.result(),
                        response.role(),
                        response.position(),
                        response.report(),
                        "value of " + connection.requestId(),
                        connection.isHealthCheck(),
                        connection.isWrite()));
    }

    /** Closes the connection of an exchange that the model ended without a response. */
    void closeConnection(long exchangeId) {
        EmulatedConnection connection = connectionByExchange.get(exchangeId);
        if (connection != null) {
            connection.connection().terminateSilently();
            connectionByExchange.remove(exchangeId);
            connectionByRequest.remove(connection.requestId(), connection);
        }
    }

    /** Closes all connections to a member. */
    void closeAll(EmulatedGroup group, int member) {
        for (EmulatedConnection connection : List.copyOf(connections.values())) {
            if (connection.belongsTo(group, member)) {
                connection.connection().terminateSilently();
                remove(connection);
            }
        }
    }

    /** Accepts the logins that were received while a member hung. */
    void acceptPendingLogins(EmulatedGroup group, int member) {
        connections.values().stream()
                .filter(connection -> connection.belongsTo(group, member) && connection.isLoginPending())
                .toList()
                .forEach(this::acceptLogin);
    }
}
