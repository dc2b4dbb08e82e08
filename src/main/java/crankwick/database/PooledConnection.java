package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a database: coming up until it is greeted, then idle or with an {@link Exchange}. Lives on the
 * event loop, but for writing a command, which is done on the selector thread. It ends in {@link #discard}.
 */
final class PooledConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PooledConnection.class);
    /** A response that has begun is not waited for longer than this: databases send each as a whole. */
    private static final long RESPONSE_STALL_TIMEOUT_MICROS = 250_000;
    /** A connection that breaks so soon under a command had been ended before, unnoticed. */
    private static final long STALE_CONNECTION_WINDOW_MICROS = 5_000;

    /** The pool, as its connections see it. */
    interface Owner {
        /** The socket is up, not yet greeted. */
        void onConnected(Connection<SocketAddress> socket, PooledConnection connection);

        /** The connection has become idle. */
        void release(PooledConnection connection);

        /** The connection ends; {@code socket} is null where it has not been up. */
        void onDiscarded(PooledConnection connection, Connection<SocketAddress> socket);

        /** Has an exchange of which nothing has been written carried by another connection. */
        void reassign(Exchange unsent);
    }

    private final PoolContext context;
    private final Owner owner;
    private final String endpointId;
    private final EventLoop.Timer connectTimer;
    private Future<?> connecting;
    private Connection<SocketAddress> socket;
    private Exchange exchange;
    private boolean greeted;
    private boolean discarded;
    /** Set by whoever comes first: the thread that writes the exchange's command, or the loop that ends it. */
    private AtomicBoolean sendClaim;
    /** The last byte of the exchange's command has been written; set by whichever thread wrote it. */
    private volatile boolean written;

    /** When the connection became idle for the last time; 0 before. */
    private long idleSinceMicros;

    /** Whether the connection had been idle before its exchange, and when that was started. */
    private boolean reused;

    private long startedAtMicros;

    /** For an exchange that starts once the database has greeted; {@link #connect} comes next. */
    PooledConnection(PoolContext context, Owner owner, Exchange exchange, long connectTimeoutMicros) {
        this.context = context;
        this.owner = owner;
        this.exchange = exchange;
        endpointId = exchange.endpointId();
        connectTimer = context.loop().schedule(connectTimeoutMicros, this::onConnectTimeout);
        exchange.carriedBy(this);
    }

    void connect(Transport transport, SocketAddress address, FilterChain chain) {
        connecting = transport.connect(address, new ConnectHandler(this), chain);
    }

    String endpointId() {
        return endpointId;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    boolean carries(Exchange candidate) {
        return exchange == candidate;
    }

    /** The connection becomes idle now. */
    void markIdle() {
        idleSinceMicros = context.clock().now();
    }

    private void onConnectTimeout() {
        if (socket == null) {
            endUnlessGreeted("connect timeout");
        } else {
            Transport.afterPendingReads(
                    socket, () -> context.loop().execute(() -> endUnlessGreeted("greeting timeout")));
        }
    }

    private void endUnlessGreeted(String reason) {
        if (!greeted && !discarded) {
            context.counters().countConnectTimeout();
            LOG.info("database {}: {}", endpointId, reason);
            discard(AttemptResult.UNREACHABLE);
        }
    }

    private void onConnected(Connection<SocketAddress> connected) {
        if (discarded) {
            connected.terminateSilently();
        } else {
            socket = connected;
            owner.onConnected(connected, this);
        }
    }

    /**
     * Writes the command from the thread that reads: only there is it certain that no unsolicited bytes have come
     * in, and that a connection which was given up before has been closed.
     */
    void start(Exchange next) {
        carry(next);
        written = false;
        reused = idleSinceMicros > 0;
        startedAtMicros = context.clock().now();
        AtomicBoolean claim = new AtomicBoolean();
        sendClaim = claim;
        var whenWritten = new CommandWrittenHandler(this, next);
        Transport.onSelectorThread(socket, () -> {
            if (next.requiresClientRecheck()) {
                // From a task on this thread, so behind what has arrived: see Transport.afterPendingReads.
                Transport.onSelectorThread(socket, () -> sendUnlessCancelled(next, claim, whenWritten));
            } else {
                sendUnlessCancelled(next, claim, whenWritten);
            }
        });
    }

    /** Keeps the connection for the exchange until its quarantine ends: that is sooner than another comes up. */
    void startAt(long micros, Exchange next) {
        carry(next);
        sendClaim = new AtomicBoolean();
        context.loop().schedule(micros - context.clock().now(), () -> {
            if (!discarded && exchange == next) {
                start(next);
            }
        });
    }

    private void carry(Exchange next) {
        exchange = next;
        next.carriedBy(this);
    }

    /** The one place where it is decided whether a command's first byte is written; on the selector thread. */
    private void sendUnlessCancelled(
            Exchange next,
            AtomicBoolean claim,
            CompletionHandler<WriteResult<DatabaseCommand, SocketAddress>> whenWritten) {
        if (claim.get()) {
            // Ended meanwhile: the connection may carry another exchange by now, and read that one's response.
            return;
        }
        if (!Transport.isOpenWithoutInput(socket)) {
            context.loop().execute(this::onClosed);
            return;
        }
        DatabaseCommand command = next.command();
        BeginDecision decision = next.mayBegin();
        if (decision != BeginDecision.BEGIN) {
            context.counters().countNotSent(decision);
            context.loop().execute(() -> cancelQueuedIfCarried(next));
        } else if (claim.compareAndSet(false, true)) {
            context.codec().expectResponse(socket, command);
            socket.write(command, whenWritten);
        }
    }

    private void onWritten(Exchange sent) {
        if (exchange == sent) {
            sent.onWritten();
        }
    }

    void onMessages(List<DatabaseMessage> messages) {
        for (DatabaseMessage message : messages) {
            if (!discarded) {
                onMessage(message);
            }
        }
    }

    private void onMessage(DatabaseMessage message) {
        if (message instanceof DatabaseMessage.ConnectionReady) {
            onGreeted();
        } else if (message instanceof DatabaseMessage.Response response) {
            onResponse(response);
        } else if (message instanceof DatabaseMessage.ProtocolError broken) {
            onProtocolError(broken.fault());
        }
    }

    private void onGreeted() {
        greeted = true;
        connectTimer.cancel();
        if (exchange == null) {
            owner.release(this);
        } else {
            start(exchange);
        }
    }

    private void onResponse(DatabaseMessage.Response response) {
        if (!greeted) {
            // Rejected before the greeting: the exchange's command has not been written.
            boolean overloaded = response.result() == AttemptResult.REJECTED_OVERLOADED;
            discard(overloaded ? AttemptResult.REJECTED_OVERLOADED : AttemptResult.UNREACHABLE);
        } else if (exchange == null) {
            discard(AttemptResult.RESET);
        } else {
            Exchange done = exchange;
            exchange = null;
            if (response.closesConnection()) {
                discard(AttemptResult.RESET);
            } else {
                owner.release(this);
            }
            done.end(response.result(), response);
        }
    }

    /** An invalid response is a failed attempt that may have run; an unsent exchange moves to another connection. */
    private void onProtocolError(String fault) {
        LOG.warn("database {}: {}", endpointId, fault);
        if (!reassignUnsent()) {
            discard(greeted ? AttemptResult.RESET : AttemptResult.CONNECTION_LOST_BEFORE_SEND);
        }
    }

    /** Ends the connection if a response that has begun does not end. */
    void checkStalledResponse() {
        if (!discarded && context.codec().isStalled(socket, RESPONSE_STALL_TIMEOUT_MICROS)) {
            context.codec().runIfStillStalled(socket, RESPONSE_STALL_TIMEOUT_MICROS, () -> context.loop()
                    .execute(this::onResponseStalled));
        }
    }

    private void onResponseStalled() {
        if (!discarded) {
            onProtocolError("incomplete response");
        }
    }

    void onClosed() {
        if (!reassignUnsent()) {
            discard(resultOfClose());
        }
    }

    private AttemptResult resultOfClose() {
        boolean stale = reused && context.clock().now() - startedAtMicros < STALE_CONNECTION_WINDOW_MICROS;
        if (!written) {
            return AttemptResult.CONNECTION_LOST_BEFORE_SEND;
        }
        return stale ? AttemptResult.STALE_CONNECTION : AttemptResult.RESET;
    }

    /** Ends the connection; an exchange of which nothing has been written goes on over another: true. */
    private boolean reassignUnsent() {
        Exchange unsent = exchange;
        if (discarded || unsent == null || !greeted || !sendClaim.compareAndSet(false, true)) {
            return false;
        }
        exchange = null;
        unsent.carriedBy(null);
        context.counters().countReassigned();
        discard(AttemptResult.RESET);
        owner.reassign(unsent);
        return true;
    }

    private void cancelQueuedIfCarried(Exchange unwanted) {
        if (!discarded && exchange == unwanted) {
            cancelQueued(AttemptResult.NOT_SENT);
        }
    }

    /**
     * Ends the exchange if not a byte of its command has been written, and keeps the connection, which may
     * still be coming up; false if it has begun.
     */
    boolean cancelQueued(AttemptResult result) {
        if (greeted && !sendClaim.compareAndSet(false, true)) {
            return false;
        }
        Exchange unsent = exchange;
        exchange = null;
        unsent.carriedBy(null);
        if (greeted) {
            owner.release(this);
        }
        unsent.end(result, null);
        return true;
    }

    /** Ends the connection, and with {@code result} the exchange that it still carries. */
    void discard(AttemptResult result) {
        if (discarded) {
            return;
        }
        discarded = true;
        connectTimer.cancel();
        if (sendClaim != null) {
            sendClaim.set(true);
        }
        owner.onDiscarded(this, socket);
        if (socket != null) {
            socket.terminateSilently();
        } else {
            connecting.cancel(true);
        }
        if (exchange != null) {
            exchange.end(result, null);
        }
    }

    /** Greets the database as soon as the socket is up. */
    private static final class ConnectHandler extends EmptyCompletionHandler<Connection<SocketAddress>> {
        private final PooledConnection connection;

        ConnectHandler(PooledConnection connection) {
            this.connection = connection;
        }

        @Override
        public void completed(Connection<SocketAddress> connected) {
            connection.context.loop().execute(() -> connection.onConnected(connected));
            // A late loop must not pass for a database that is slow to greet; the loop knows the socket by then.
            connected.write(new DatabaseCommand.Handshake());
        }

        @Override
        public void failed(Throwable fault) {
            boolean refused = fault instanceof ConnectException;
            AttemptResult result = refused ? AttemptResult.UNREACHABLE : AttemptResult.CONNECTION_LOST_BEFORE_SEND;
            connection.context.loop().execute(() -> connection.discard(result));
        }
    }

    /** Notes when a command has been written. */
    private static final class CommandWrittenHandler
            extends EmptyCompletionHandler<WriteResult<DatabaseCommand, SocketAddress>> {
        private final PooledConnection connection;
        private final Exchange sent;

        CommandWrittenHandler(PooledConnection connection, Exchange sent) {
            this.connection = connection;
            this.sent = sent;
        }

        @Override
        public void completed(WriteResult<DatabaseCommand, SocketAddress> result) {
            connection.written = true;
            connection.context.loop().execute(() -> connection.onWritten(sent));
        }
    }
}
