package crankwick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Future;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.DefaultWorkerThread;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process's Grizzly transport: a single selector thread reads, decodes and passes messages on. */
public final class Transport implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Transport.class);
    /** The most that one read of a connection returns. */
    static final int READ_BUFFER_BYTES = 16 * 1024;
    /**
     * Limits the memory for the unwritten data of a connection whose peer does not read: writes beyond this limit fail.
     */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    private static final int ACCEPT_BACKLOG = 1024;
    /** A negative value disables SO_LINGER. */
    private static final int LINGER_DISABLED = -1;

    private static final BoundedReadMemory MEMORY_MANAGER = new BoundedReadMemory(READ_BUFFER_BYTES);

    private final TCPNIOTransport transport;

    /** Starts the selector thread. */
    public Transport() throws IOException {
        transport = TCPNIOTransportBuilder.newInstance()
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("selector")
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1)
                        .setThreadFactory(Transport::selectorThread))
                .setWorkerThreadPoolConfig(null)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setMemoryManager(MEMORY_MANAGER)
                .setReadBufferSize(READ_BUFFER_BYTES)
                .setMaxAsyncWriteQueueSizeInBytes(MAX_UNWRITTEN_BYTES)
                .setServerConnectionBackLog(ACCEPT_BACKLOG)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .build();
        transport.start();
    }

    /** Creates the same thread as Grizzly's default thread factory, which is slow to initialize at startup. */
    private static Thread selectorThread(Runnable task) {
        return new DefaultWorkerThread(
                Grizzly.DEFAULT_ATTRIBUTE_BUILDER, "selector", MEMORY_MANAGER.createThreadLocalPool(), task);
    }

    /** Listens on an address. */
    public TCPNIOServerConnection bind(InetSocketAddress address, BaseFilter... filters) throws IOException {
        return TCPNIOBindingHandler.builder(transport)
                .processor(chain(filters))
                .build()
                .bind(address);
    }

    /** Connects asynchronously; cancelling the returned future aborts a connection that is not established. */
    public Future<?> connect(
            SocketAddress address, CompletionHandler<Connection<SocketAddress>> onConnected, FilterChain chain) {
        var future = TCPNIOConnectorHandler.builder(transport)
                .processor(chain)
                .build()
                .connect(address);
        future.addCompletionHandler(new ConnectHandler(onConnected));
        return future;
    }

    /** Queues a task on the thread that reads from a connection; the task runs after the work in progress there. */
    public static void onSelectorThread(Connection<?> connection, Runnable task) {
        connection.executeInEventThread(IOEvent.WRITE, task);
    }

    /**
     * Runs a task on the thread that reads from a connection, after input that has already arrived is read. Treating a
     * peer as silent is valid only then. The selector thread runs queued tasks before it reads from sockets, but a task
     * queued by another task runs after those reads.
     */
    public static void afterPendingReads(Connection<?> connection, Runnable task) {
        onSelectorThread(connection, () -> onSelectorThread(connection, task));
    }

    /**
     * True if the connection is open and has no unread input. Consumes one byte of unread input, so the caller must
     * close the connection if false. Must be called on the thread that reads from the connection.
     */
    public static boolean isOpenWithoutInput(Connection<?> connection) {
        try {
            return connection.isOpen() && channel(connection).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Enables or disables an I/O event of a connection; terminates the connection if that fails. */
    public static void setInterest(Connection<?> connection, IOEvent event, boolean enabled) {
        try {
            if (enabled) {
                connection.enableIOEvent(event);
            } else {
                connection.disableIOEvent(event);
            }
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /**
     * Shuts down output after the data that has already been written to the socket; reading continues. Terminates the
     * connection if that fails.
     */
    public static void shutdownOutput(Connection<?> connection) {
        try {
            channel(connection).shutdownOutput();
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /**
     * Sets whether closing the connection, also by the end of the process, resets it and discards all bytes that the
     * peer's machine has not received yet. Otherwise the operating system delivers them after the close, however long
     * that takes. If the socket refuses the option, it stays as it was.
     */
    public static void setResetOnClose(Connection<?> connection, boolean reset) {
        try {
            channel(connection).setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : LINGER_DISABLED);
        } catch (IOException e) {
            LOG.debug("cannot set SO_LINGER of {}: {}", connection.getPeerAddress(), e.getMessage());
        }
    }

    private static SocketChannel channel(Connection<?> connection) {
        return (SocketChannel) ((NIOConnection) connection).getChannel();
    }

    /** The context's connection; connections of a TCP transport always have socket addresses. */
    @SuppressWarnings("unchecked")
    public static Connection<SocketAddress> connection(FilterChainContext context) {
        return context.getConnection();
    }

    /** Builds a chain of the given filters on top of the transport filter. */
    public static FilterChain chain(BaseFilter... filters) {
        FilterChainBuilder chain = FilterChainBuilder.stateless().add(new TransportFilter());
        for (BaseFilter filter : filters) {
            chain.add(filter);
        }
        return chain.build();
    }

    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }

    /**
     * Adapts a typed handler to Grizzly's connector, which uses the raw connection type. Not a record: Grizzly hashes
     * the handler, and the first hash code of a record takes 50 ms of the startup time.
     */
    @SuppressWarnings("rawtypes")
    private static final class ConnectHandler implements CompletionHandler<Connection> {
        private final CompletionHandler<Connection<SocketAddress>> delegate;

        ConnectHandler(CompletionHandler<Connection<SocketAddress>> delegate) {
            this.delegate = delegate;
        }

        @Override
        public void cancelled() {
            delegate.cancelled();
        }

        @Override
        public void failed(Throwable fault) {
            delegate.failed(fault);
        }

        @Override
        @SuppressWarnings("unchecked")
        public void completed(Connection connection) {
            delegate.completed(connection);
        }

        @Override
        @SuppressWarnings("unchecked")
        public void updated(Connection connection) {
            delegate.updated(connection);
        }
    }
}
