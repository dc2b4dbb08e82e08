package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.ConnectException;
import java.net.SocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;

/** Starts the handshake as soon as the socket of a {@link PooledConnection} is connected. */
final class DatabaseConnectHandler extends EmptyCompletionHandler<Connection<SocketAddress>> {
    private final EventLoop loop;
    private final PooledConnection connection;

    DatabaseConnectHandler(EventLoop loop, PooledConnection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    @Override
    public void completed(Connection<SocketAddress> connected) {
        Transport.setResetOnClose(connected, true);
        loop.execute(() -> connection.onConnected(connected));
        // Written on this thread, so that a delayed event loop is not mistaken for a slow greeting. onConnected is
        // queued first, so the event loop knows the socket before it handles the greeting.
        connected.write(new DatabaseCommand.Handshake());
    }

    @Override
    public void failed(Throwable fault) {
        boolean refused = fault instanceof ConnectException;
        AttemptResult result = refused ? AttemptResult.UNREACHABLE : AttemptResult.CONNECTION_LOST_BEFORE_SEND;
        loop.execute(() -> connection.discard(result));
    }
}
