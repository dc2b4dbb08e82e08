package crankwick.database;

import crankwick.broker.BrokerEventSink;
import crankwick.broker.Effect;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Pool of connections to all databases. A connection serves one {@link Exchange} at a time; then it becomes idle in
 * {@link PooledConnection.Owner#release} or is closed in {@link PooledConnection#discard}. Confined to the event loop.
 */
public final class DatabasePool {
    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 250_000;
    /**
     * The fraction of the database's idle timeout after which the pool closes an idle connection, so that the database
     * does not close it under a request.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private static final long REAP_INTERVAL_MICROS = 1_000_000;
    /**
     * A connection sends no further command this soon after it became idle, so that unsolicited bytes after the last
     * response are detected.
     */
    private static final long POST_RESPONSE_QUARANTINE_MICROS = 10_000;

    /**
     * How long a connection may take to synchronize after a response; an exchange that waits for it moves to another
     * connection then.
     */
    private static final long SYNCHRONIZATION_TIMEOUT_MICROS = 100_000;

    private static final long STALL_CHECK_INTERVAL_MICROS = 50_000;

    private final PoolContext context;
    private final Transport transport;
    private final FilterChain chain;
    private final long connectTimeoutMicros;
    private final long maxIdleMicros;
    private final int maxConnections;
    private final HostRegistry hosts = new HostRegistry();
    private final Map<Connection<SocketAddress>, PooledConnection> bySocket = new HashMap<>();
    private final Map<Long, AttemptExchange> activeAttempts = new HashMap<>();
    private final PooledConnection.Owner owner = new ConnectionOwner();
    private int connections;

    /** {@code codec} implements the protocol of the databases. */
    public DatabasePool(
            BrokerEventSink broker,
            EventLoop loop,
            Clock clock,
            Transport transport,
            CodecFilter codec,
            PoolSettings settings) {
        context = new PoolContext(broker, loop, clock, codec, new PoolCounters());
        this.transport = transport;
        chain = Transport.chain(codec, new Receiver());
        codec.limitInputMemory(
                loop, (socket, protocolError) -> onMessages(socket, List.of((DatabaseMessage) protocolError)));
        connectTimeoutMicros = settings.connectTimeoutMicros();
        maxIdleMicros = (long) (settings.serverIdleTimeoutMicros() * IDLE_TIMEOUT_FRACTION);
        maxConnections = settings.maxConnections();
        loop.schedule(REAP_INTERVAL_MICROS, this::reap);
        loop.schedule(STALL_CHECK_INTERVAL_MICROS, this::checkStalledResponses);
    }

    /** The counters of connections to databases, formatted for the log. */
    public String counters() {
        return context.counters() + " " + context.codec().inputCounters();
    }

    /** Applies an update of the endpoint list. */
    public void updateEndpoints(EndpointUpdateKind kind, List<EndpointAddress> entries) {
        hosts.update(kind, entries, context.clock().now());
    }

    /**
     * Starts an attempt of a client's request; the attempt ends with NOT_SENT if no connection can be used or opened.
     */
    public void send(Effect.SendAttempt attempt, CommandSource source) {
        AttemptExchange exchange = new AttemptExchange(context, attempt, source, activeAttempts);
        activeAttempts.put(attempt.requestId(), exchange);
        dispatch(exchange);
    }

    /** Aborts a request's attempt without reporting its end to the broker, which has already recorded it. */
    public void cancelAttempt(long requestId) {
        AttemptExchange exchange = activeAttempts.remove(requestId);
        if (exchange != null) {
            exchange.detach();
            exchange.abort(AttemptResult.CANCELLED);
        }
    }

    /**
     * Ends a request's attempt with NOT_SENT unless writing its command has begun; in that case, the attempt continues.
     */
    public void cancelQueued(long requestId) {
        AttemptExchange exchange = activeAttempts.get(requestId);
        if (exchange != null) {
            exchange.cancelQueued(AttemptResult.NOT_SENT);
        }
    }

    /** Starts a health check: requests a database's load report. */
    public void checkHealth(String endpointId) {
        HealthCheckExchange exchange = new HealthCheckExchange(context, endpointId);
        context.loop().schedule(HEALTH_CHECK_TIMEOUT_MICROS, () -> exchange.abort(AttemptResult.TIMEOUT));
        dispatch(exchange);
    }

    /**
     * Assigns an exchange to an idle connection that may send now, else to one that will soon, else to a new
     * connection. If the host is not listed or the connection limit is reached and no connection is idle, the exchange
     * ends with NOT_SENT.
     */
    private void dispatch(Exchange exchange) {
        Host host = hosts.find(exchange.endpointId());
        long now = context.clock().now();
        long quarantinedAfter = now - POST_RESPONSE_QUARANTINE_MICROS;
        long synchronizingAfter = now - SYNCHRONIZATION_TIMEOUT_MICROS;
        PooledConnection usable = host == null ? null : host.takeMostRecentlyUsed(quarantinedAfter);
        PooledConnection next =
                host == null || usable != null ? null : host.takeLeastRecentlyUsedSince(synchronizingAfter);
        if (usable != null) {
            usable.start(exchange);
        } else if (next != null) {
            long idleSince = next.idleSinceMicros();
            next.startAt(
                    idleSince + POST_RESPONSE_QUARANTINE_MICROS, idleSince + SYNCHRONIZATION_TIMEOUT_MICROS, exchange);
        } else if (host == null
                || host.address() == null
                || connections >= maxConnections && !evictLeastRecentlyUsed()) {
            exchange.end(AttemptResult.NOT_SENT, null);
        } else {
            open(host.address(), exchange);
        }
    }

    private void open(SocketAddress address, Exchange exchange) {
        connections++;
        context.counters().countOpened();
        new PooledConnection(context, owner, exchange, connectTimeoutMicros).connect(transport, address, chain);
    }

    /**
     * Closes the least recently used idle connection to any database to make room for a new one; false if none is idle.
     */
    private boolean evictLeastRecentlyUsed() {
        PooledConnection oldest = hosts.leastRecentlyUsed();
        if (oldest != null) {
            oldest.discard(AttemptResult.RESET);
        }
        return oldest != null;
    }

    private void onMessages(Connection<?> socket, List<DatabaseMessage> messages) {
        context.loop().execute(() -> {
            PooledConnection connection = bySocket.get(socket);
            if (connection != null) {
                connection.onMessages(messages);
            }
        });
    }

    private void reap() {
        hosts.reap(context.clock().now(), maxIdleMicros);
        context.loop().schedule(REAP_INTERVAL_MICROS, this::reap);
    }

    private void checkStalledResponses() {
        for (PooledConnection connection : List.copyOf(bySocket.values())) {
            connection.checkStalledResponse();
        }
        context.loop().schedule(STALL_CHECK_INTERVAL_MICROS, this::checkStalledResponses);
    }

    /**
     * Maintains the connection count, the idle connections and the lookup by socket as connections change their state.
     */
    private final class ConnectionOwner implements PooledConnection.Owner {
        @Override
        public void onConnected(Connection<SocketAddress> socket, PooledConnection connection) {
            bySocket.put(socket, connection);
        }

        @Override
        public void release(PooledConnection connection) {
            connection.markIdle();
            hosts.findOrCreate(connection.endpointId()).addIdle(connection);
        }

        @Override
        public void onDiscarded(PooledConnection connection, Connection<SocketAddress> socket) {
            connections--;
            Host host = hosts.find(connection.endpointId());
            if (host != null) {
                host.removeIdle(connection);
            }
            if (socket != null) {
                bySocket.remove(socket);
            }
        }

        @Override
        public void reassign(Exchange unsent) {
            dispatch(unsent);
        }
    }

    /** The last filter of the chain: passes decoded messages and closes to the event loop. */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext filterContext) {
            Connection<SocketAddress> socket = Transport.connection(filterContext);
            List<DatabaseMessage> messages = filterContext.getMessage();
            onMessages(socket, messages);
            return filterContext.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext filterContext) {
            Connection<SocketAddress> socket = Transport.connection(filterContext);
            context.loop().execute(() -> {
                PooledConnection connection = bySocket.get(socket);
                if (connection != null) {
                    connection.onClosed();
                }
            });
            return filterContext.getStopAction();
        }
    }
}
