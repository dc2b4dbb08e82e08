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

/** The connections of proxies to all members, and what is in flight on them; used on the loop alone. */
final class MemberConnections {
    private static final Logger LOG = LoggerFactory.getLogger(MemberConnections.class);
    /** The end of a connection may be noticed after what its peer did next on another. */
    private static final long CROSSING_GRACE_MICROS = 250_000;

    private static final long MICROS_PER_MILLI = 1_000;
    /** How a statement begins; health checks have no comment. */
    private static final String STATEMENT_PREFIX = "/*";

    private final EventLoop loop;
    private final ExecutionLog executionLog;
    private final BiConsumer<EmulatedGroup, ModelEvent> model;
    private final Map<Connection<SocketAddress>, EmulatedConnection> connections = new HashMap<>();
    private final Map<Long, EmulatedConnection> byExchange = new HashMap<>();
    private final Map<String, EmulatedConnection> byRequest = new HashMap<>();
    private long exchanges;

    MemberConnections(EventLoop loop, ExecutionLog executionLog, BiConsumer<EmulatedGroup, ModelEvent> model) {
        this.loop = loop;
        this.executionLog = executionLog;
        this.model = model;
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
            forget(emulated);
        }
    }

    private void onMessage(EmulatedConnection connection, ClientMessage message) {
        if (message instanceof ClientMessage.Login) {
            if (connection.group().model().isResponsive(connection.member())) {
                welcome(connection);
            } else {
                connection.setLoginPending(true);
            }
        } else if (message instanceof ClientMessage.Query query) {
            onQuery(connection, query.text());
        } else {
            connection.connection().terminateSilently();
        }
    }

    private void welcome(EmulatedConnection connection) {
        connection.setLoginPending(false);
        connection.connection().write(new ClientReply.LoginAccepted());
    }

    private void onQuery(EmulatedConnection connection, String text) {
        long exchangeId = ++exchanges;
        boolean healthCheck = !text.startsWith(STATEMENT_PREFIX);
        connection.beginExchange(exchangeId, healthCheck);
        byExchange.put(exchangeId, connection);
        if (healthCheck) {
            model.accept(connection.group(), new ModelEvent.HealthCheckReceived(exchangeId, connection.member()));
            return;
        }
        try {
            onStatement(connection, Statement.parse(text));
        } catch (IllegalArgumentException e) {
            LOG.warn("malformed statement: {}", text);
            byExchange.remove(connection.exchangeId());
            connection.connection().terminateSilently();
        }
    }

    private void onStatement(EmulatedConnection connection, Statement statement) {
        connection.setStatement(statement.requestId(), statement.idempotencyKey() != null);
        EmulatedConnection earlier = byRequest.put(statement.requestId(), connection);
        if (earlier != null) {
            checkConcurrentAttempt(earlier);
        }
        model.accept(
                connection.group(),
                new ModelEvent.StatementReceived(
                        connection.exchangeId(),
                        connection.member(),
                        statement.idempotencyKey(),
                        Math.max(0, statement.requiredPositionMillis() * MICROS_PER_MILLI)));
    }

    /** A request's earlier attempt that does not end soon was in flight beside the next one. */
    private void checkConcurrentAttempt(EmulatedConnection earlier) {
        long earlierExchange = earlier.exchangeId();
        loop.schedule(CROSSING_GRACE_MICROS, () -> {
            boolean open = connections.get(earlier.connection()) == earlier;
            if (open && earlier.exchangeId() == earlierExchange) {
                executionLog.recordConcurrentAttempt();
            }
        });
    }

    private void forget(EmulatedConnection connection) {
        connections.remove(connection.connection());
        if (connection.hasExchange() && byExchange.remove(connection.exchangeId()) != null) {
            byRequest.remove(connection.requestId(), connection);
            model.accept(connection.group(), new ModelEvent.ConnectionClosed(connection.exchangeId()));
        }
    }

    /** Answers what came on a connection, if that is still open. */
    void answer(ModelEffect.ResponseSent answer) {
        EmulatedConnection connection = byExchange.remove(answer.exchangeId());
        if (connection == null) {
            return;
        }
        connection.endExchange();
        byRequest.remove(connection.requestId(), connection);
        connection
                .connection()
                .write(new EmulatedResponse(
                        answer.result(),
                        answer.role(),
                        answer.position(),
                        answer.report(),
                        "value of " + connection.requestId(),
                        connection.isHealthCheck(),
                        connection.isWrite()));
    }

    /** Breaks the connection of an exchange. */
    void breakConnection(long exchangeId) {
        EmulatedConnection connection = byExchange.get(exchangeId);
        if (connection != null) {
            connection.connection().terminateSilently();
            byExchange.remove(exchangeId);
            byRequest.remove(connection.requestId(), connection);
        }
    }

    /** Breaks all connections to a member. */
    void breakAll(EmulatedGroup group, int member) {
        for (EmulatedConnection connection : List.copyOf(connections.values())) {
            if (connection.isTo(group, member)) {
                connection.connection().terminateSilently();
                forget(connection);
            }
        }
    }

    /** Answers the logins that came while a member hung. */
    void answerPendingLogins(EmulatedGroup group, int member) {
        connections.values().stream()
                .filter(connection -> connection.isTo(group, member) && connection.isLoginPending())
                .toList()
                .forEach(this::welcome);
    }
}
