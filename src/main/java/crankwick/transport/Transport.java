package crankwick.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
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
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.DefaultWorkerThread;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** The process's one Grizzly transport: a single selector thread that decodes and hands over to the loop. */
public final class Transport implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    /** Bounds what a peer that does not read may cost: past this the write fails. */
    private static final int MAX_UNWRITTEN_BYTES = 1 << 20;

    private static final int ACCEPT_BACKLOG = 1024;
    private static final HeapMemoryManager MEMORY_MANAGER = new HeapMemoryManager(READ_BUFFER_BYTES);

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

    /** As Grizzly makes it, but without its default factory, which is slow at a start. */
    private static Thread selectorThread(Runnable task) {
        return new DefaultWorkerThread(
                Grizzly.DEFAULT_ATTRIBUTE_BUILDER, "selector", MEMORY_MANAGER.createThreadLocalPool(), task);
    }

    /** Listens at an address. */
    public TCPNIOServerConnection bind(InetSocketAddress address, BaseFilter... filters) throws IOException {
        return TCPNIOBindingHandler.builder(transport)
                .processor(chain(filters))
                .build()
                .bind(address);
    }

    /** Connects without waiting; to cancel what is returned ends a connection that is not up yet. */
    public Future<?> connect(
            SocketAddress address, CompletionHandler<Connection<SocketAddress>> whenUp, FilterChain chain) {
        var connecting = TCPNIOConnectorHandler.builder(transport)
                .processor(chain)
                .build()
                .connect(address);
        connecting.addCompletionHandler(new Connected(whenUp));
        return connecting;
    }

    /** Runs a task on the thread that reads from a connection, after what is under way there. */
    public static void onSelectorThread(Connection<?> connection, Runnable task) {
        connection.executeInEventThread(IOEvent.WRITE, task);
    }

    /**
     * Runs a task on the thread that reads from a connection, once what has arrived by now is read: whoever
     * concludes something from a peer's silence has to have listened first. Tasks go before what has arrived on
     * sockets, but a task that is handed over by a task goes behind it.
     */
    public static void afterPendingReads(Connection<?> connection, Runnable task) {
        onSelectorThread(connection, () -> onSelectorThread(connection, task));
    }

    /** True if an open connection has nothing to read; to be asked where it reads. */
    public static boolean isOpenWithoutInput(Connection<?> connection) {
        try {
            return connection.isOpen() && channel(connection).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Takes a connection's event up, or leaves it to wait. */
    public static void setInterest(Connection<?> connection, IOEvent event, boolean wanted) {
        try {
            if (wanted) {
                connection.enableIOEvent(event);
            } else {
                connection.disableIOEvent(event);
            }
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /** Ends the sending, as soon as what has been handed over is sent; reading goes on. */
    public static void shutdownOutput(Connection<?> connection) {
        try {
            channel(connection).shutdownOutput();
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    private static SocketChannel channel(Connection<?> connection) {
        return (SocketChannel) ((NIOConnection) connection).getChannel();
    }

    /** The context's connection; a TCP transport's is always of socket addresses. */
    @SuppressWarnings("unchecked")
    public static Connection<SocketAddress> connection(FilterChainContext context) {
        return context.getConnection();
    }

    /** A connection's filters above the transport itself. */
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
     * Grizzly's connector speaks of raw connections; this one place narrows them. No record: it is
     * hashed there, and a record's first hash code takes a twentieth of a second of a start.
     */
    @SuppressWarnings("rawtypes")
    private static final class Connected implements CompletionHandler<Connection> {
        private final CompletionHandler<Connection<SocketAddress>> inner;

        Connected(CompletionHandler<Connection<SocketAddress>> inner) {
            this.inner = inner;
        }

        @Override
        public void cancelled() {
            inner.cancelled();
        }

        @Override
        public void failed(Throwable fault) {
            inner.failed(fault);
        }

        @Override
        @SuppressWarnings("unchecked")
        public void completed(Connection connection) {
            inner.completed(connection);
        }

        @Override
        @SuppressWarnings("unchecked")
        public void updated(Connection connection) {
            inner.updated(connection);
        }
    }
}
