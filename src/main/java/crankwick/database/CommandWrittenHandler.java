package crankwick.database;

import crankwick.transport.EventLoop;
import java.net.SocketAddress;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/** Records that the command of an exchange has been written completely. */
final class CommandWrittenHandler extends EmptyCompletionHandler<WriteResult<DatabaseCommand, SocketAddress>> {
    private final EventLoop loop;
    private final PooledConnection connection;
    private final Exchange sent;

    CommandWrittenHandler(EventLoop loop, PooledConnection connection, Exchange sent) {
        this.loop = loop;
        this.connection = connection;
        this.sent = sent;
    }

    @Override
    public void completed(WriteResult<DatabaseCommand, SocketAddress> result) {
        connection.markWritten();
        loop.execute(() -> connection.onWritten(sent));
    }
}
