package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a database. It is connecting until the database has greeted it, then idle or serving an
 * {@link Exchange}; {@link #discard} closes it. Confined to the event loop, except that commands are written on the
 * selector thread.
 */
final class PooledConnection {
    private static final Logger LOG = LoggerFactory.getLogger(PooledConnection.class);
    /** Time limit for completing a response of which a part has been received: databases send each response at once. */
    private static final long RESPONSE_STALL_TIMEOUT_MICROS = 250_000;
    /** A reused connection that closes this soon after its exchange started had already been closed by the database. */
    private static final long STALE_CONNECTION_WINDOW_MICROS = 5_000;

    /** Callbacks from a connection to its pool. */
    interface Owner {
        /** The socket is connected; the database has not greeted it yet. */
        void onConnected(Connection<SocketAddress> socket, PooledConnection connection);

        /** Returns the connection, which has become idle, to the pool. */
        void release(PooledConnection connection);

        /** The connection is being closed; {@code socket} is null if it was never connected. */
        void onDiscarded(PooledConnection connection, Connection<SocketAddress> socket);

        /** Moves an unsent exchange to another connection. */
        void reassign(Exchange unsent);
    }

    private final PoolContext context;
    private final Owner owner;
    private final String endpointId;
    private final EventLoop.Timer connectTimer;
    private Future<?> connectFuture;
    private Connection<SocketAddress> socket;
    private Exchange exchange;
    /** Whether the database has completed the handshake on this connection. */
    private boolean greeted;

    /** Whether input of the last response may still arrive; see {@link DatabaseMessage.Synchronized}. */
    private boolean synchronizing;
    /** The exchange that starts as soon as the connection is synchronized; null if there is none. */
    private Exchange startsWhenSynchronized;

    private boolean discarded;
    /**
     * Whether it is decided if the current exchange is sent on this connection. Set to true once, by the selector
     * thread that writes the command or by the event loop that ends or moves the exchange; null before the first
     * exchange starts.
     */
    private AtomicBoolean sendClaim;
    /** Whether the last byte of the current exchange's command has been written; set by the thread that wrote it. */
    private volatile boolean written;

    /** When the connection last became idle; 0 if it never has. */
    private long idleSinceMicros;

    /** Whether the connection had ever been idle before its current exchange was started. */
    private boolean reused;

    /** When the current exchange was started on this connection. */
    private long startedAtMicros;

    /** Creates a connection whose first exchange starts after the greeting; {@link #connect} must be called next. */
    PooledConnection(PoolContext context, Owner owner, Exchange exchange, long connectTimeoutMicros) {
        this.context = context;
        this.owner = owner;
        this.exchange = exchange;
        endpointId = exchange.endpointId();
        connectTimer = context.loop().schedule(connectTimeoutMicros, this::onConnectTimeout);
        exchange.assignTo(this);
    }

    void connect(Transport transport, SocketAddress address, FilterChain chain) {
        connectFuture = transport.connect(address, new DatabaseConnectHandler(context.loop(), this), chain);
    }

    String endpointId() {
        return endpointId;
    }

    long idleSinceMicros() {
        return idleSinceMicros;
    }

    boolean isSynchronized() {
        return !synchronizing;
    }

    boolean isAssigned(Exchange candidate) {
        return exchange == candidate;
    }

    /** Records the current time as the time at which the connection became idle. */
    void markIdle() {
        idleSinceMicros = context.clock().now();
    }

    private void onConnectTimeout() {
        if (socket == null) {
            discardUnlessGreeted("connection not established within the connect timeout");
        } else {
            Transport.afterPendingReads(socket, () -> context.loop()
                    .execute(() -> discardUnlessGreeted("no greeting within the connect timeout")));
        }
    }

    private void discardUnlessGreeted(String reason) {
        if (!greeted && !discarded) {
            context.counters().countConnectTimeout();
            LOG.info("database {}: {}; closing the connection", endpointId, reason);
            discard(AttemptResult.UNREACHABLE);
        }
    }

    void onConnected(Connection<SocketAddress> connected) {
        if (discarded) {
            connected.terminateSilently();
        } else {
            socket = connected;
            owner.onConnected(connected, this);
        }
    }

    /**
     * Assigns an exchange and writes its command on the selector thread, which also reads the socket: only this thread
     * can be sure that no unsolicited bytes have arrived and that a connection discarded earlier has been closed.
     */
    void start(Exchange next) {
        assign(next);
        written = false;
        reused = idleSinceMicros > 0;
        startedAtMicros = context.clock().now();
        AtomicBoolean claim = new AtomicBoolean();
        sendClaim = claim;
        var writtenHandler = new CommandWrittenHandler(context.loop(), this, next);
        Transport.onSelectorThread(socket, () -> {
            if (next.requiresClientRecheck()) {
                // Queued again, so that the client's pending input is read first: see Transport.afterPendingReads.
                Transport.onSelectorThread(socket, () -> sendUnlessCancelled(next, claim, writtenHandler));
            } else {
                sendUnlessCancelled(next, claim, writtenHandler);
            }
        });
    }

    /**
     * Assigns the exchange now and starts it at the given time, when the connection's quarantine ends, or when the
     * connection is synchronized, if that is later; opening a new connection would take longer. If the connection is
     * not synchronized at {@code synchronizedBy}, the exchange moves to another one.
     */
    void startAt(long micros, long synchronizedBy, Exchange next) {
        assign(next);
        sendClaim = new AtomicBoolean();
        context.loop().schedule(micros - context.clock().now(), () -> {
            if (!discarded && exchange == next) {
                startOnceSynchronized(synchronizedBy, next);
            }
        });
    }

    private void startOnceSynchronized(long synchronizedBy, Exchange next) {
        if (!synchronizing) {
            start(next);
            return;
        }
        startsWhenSynchronized = next;
        context.loop().schedule(synchronizedBy - context.clock().now(), () -> {
            if (!discarded && exchange == next && synchronizing) {
                LOG.info("database {}: response not followed by an answer to an empty query in time", endpointId);
                reassignUnsent();
            }
        });
    }

    private void onSynchronized() {
        synchronizing = false;
        Exchange next = startsWhenSynchronized;
        startsWhenSynchronized = null;
        if (next != null && exchange == next) {
            start(next);
        }
    }

    private void assign(Exchange next) {
        startsWhenSynchronized = null;
        exchange = next;
        next.assignTo(this);
    }

    /**
     * Writes the command if the exchange has neither ended nor moved, the connection is open without unread input, and
     * {@link Exchange#sendDecision} allows it. Runs on the selector thread; no other place begins to write a command.
     */
    private void sendUnlessCancelled(
            Exchange next,
            AtomicBoolean claim,
            CompletionHandler<WriteResult<DatabaseCommand, SocketAddress>> writtenHandler) {
        if (claim.get()) {
            // The exchange has ended or moved: the connection may already serve another one and read its response.
            return;
        }
        if (!Transport.isOpenWithoutInput(socket)) {
            context.loop().execute(this::onClosed);
            return;
        }
        DatabaseCommand command = next.command();
        SendDecision decision = next.sendDecision();
        if (decision != SendDecision.SEND) {
            context.counters().countNotSent(decision);
            context.loop().execute(() -> cancelQueuedIfAssigned(next));
        } else if (claim.compareAndSet(false, true)) {
            context.codec().expectResponse(socket, command);
            socket.write(command, writtenHandler);
        }
    }

    /** Records that the last byte of the current exchange's command has been written; called by the writing thread. */
    void markWritten() {
        written = true;
    }

    void onWritten(Exchange sent) {
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
        } else if (message instanceof DatabaseMessage.Synchronized) {
            onSynchronized();
        } else if (message instanceof DatabaseMessage.ProtocolError error) {
            onProtocolError(error.fault());
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
            // Rejected during the handshake: the exchange's command has not been written.
            boolean overloaded = response.result() == AttemptResult.REJECTED_OVERLOADED;
            discard(overloaded ? AttemptResult.REJECTED_OVERLOADED : AttemptResult.UNREACHABLE);
        } else if (exchange == null) {
            discard(AttemptResult.RESET);
        } else {
            Exchange completed = exchange;
            exchange = null;
            if (response.closesConnection()) {
                discard(AttemptResult.RESET);
            } else {
                synchronizing = true;
                owner.release(this);
            }
            completed.end(response.result(), response);
        }
    }

    /**
     * Closes the connection after invalid input. A sent exchange fails with RESET, as its statement may have run; an
     * unsent one moves to another connection or, during the handshake, fails as CONNECTION_LOST_BEFORE_SEND.
     */
    private void onProtocolError(String fault) {
        LOG.warn("database {}: invalid response: {}; closing the connection", endpointId, fault);
        if (!reassignUnsent()) {
            discard(greeted ? AttemptResult.RESET : AttemptResult.CONNECTION_LOST_BEFORE_SEND);
        }
    }

    /** Closes the connection if a partly received response is not completed in time. */
    void checkStalledResponse() {
        if (!discarded && context.codec().isStalled(socket, RESPONSE_STALL_TIMEOUT_MICROS)) {
            context.codec().runIfStillStalled(socket, RESPONSE_STALL_TIMEOUT_MICROS, () -> context.loop()
                    .execute(this::onResponseStalled));
        }
    }

    private void onResponseStalled() {
        if (!discarded) {
            onProtocolError("not completed within the stall timeout");
        }
    }

    void onClosed() {
        if (!reassignUnsent()) {
            discard(closeResult());
        }
    }

    private AttemptResult closeResult() {
        boolean stale = reused && context.clock().now() - startedAtMicros < STALE_CONNECTION_WINDOW_MICROS;
        if (!written) {
            return AttemptResult.CONNECTION_LOST_BEFORE_SEND;
        }
        return stale ? AttemptResult.STALE_CONNECTION : AttemptResult.RESET;
    }

    /**
     * If the handshake is complete and the exchange is unsent, closes the connection, moves the exchange to another one
     * and returns true.
     */
    private boolean reassignUnsent() {
        Exchange unsent = exchange;
        if (discarded || unsent == null || !greeted || !sendClaim.compareAndSet(false, true)) {
            return false;
        }
        exchange = null;
        unsent.assignTo(null);
        context.counters().countReassigned();
        discard(AttemptResult.RESET);
        owner.reassign(unsent);
        return true;
    }

    private void cancelQueuedIfAssigned(Exchange rejected) {
        if (!discarded && exchange == rejected) {
            cancelQueued(AttemptResult.NOT_SENT);
        }
    }

    /**
     * Ends the exchange without closing the connection, which returns to the pool: at once, or when its handshake is
     * complete. Returns false and changes nothing if writing the command has begun.
     */
    boolean cancelQueued(AttemptResult result) {
        if (greeted && !sendClaim.compareAndSet(false, true)) {
            return false;
        }
        Exchange unsent = exchange;
        exchange = null;
        unsent.assignTo(null);
        if (greeted) {
            owner.release(this);
        }
        unsent.end(result, null);
        return true;
    }

    /**
     * Closes the connection and ends its exchange, if any, with {@code result}. If there is one, the connection is
     * reset, so that no rest of its command reaches the database from now on.
     */
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
            Transport.setResetOnClose(socket, exchange != null);
            socket.terminateSilently();
        } else {
            connectFuture.cancel(true);
        }
        if (exchange != null) {
            exchange.end(result, null);
        }
    }
}
