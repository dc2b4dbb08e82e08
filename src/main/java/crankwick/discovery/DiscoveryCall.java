package crankwick.discovery;

import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.Future;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;

/** One HTTP call to discovery on a dedicated connection, closed by {@link #end}. Confined to the event loop. */
final class DiscoveryCall extends EmptyCompletionHandler<Connection<SocketAddress>> {
    private static final String PATH = "/discovery/hosts";

    /** Receives events on the event loop; a call that has ended may still report a failure. */
    interface Listener {
        /** The connection is established. */
        void onConnected(DiscoveryCall call);

        /** The response is complete; the call has ended. */
        void onResponse(DiscoveryCall call, String body);

        /**
         * The call has failed, for instance to connect, or with another HTTP status than 200. The connection stays open
         * until the listener calls {@link #end}.
         */
        void onFailure(DiscoveryCall call, String reason);
    }

    private final long number;
    private final InetSocketAddress address;
    private final String query;
    private final EventLoop loop;
    private final Listener listener;
    private final Future<?> connecting;
    private Connection<SocketAddress> connection;
    private boolean ended;

    /** Starts connecting; {@code query} is null for a request without a query string. */
    DiscoveryCall(
            long number,
            InetSocketAddress address,
            String query,
            Transport transport,
            EventLoop loop,
            Listener listener) {
        this.number = number;
        this.address = address;
        this.query = query;
        this.loop = loop;
        this.listener = listener;
        connecting =
                transport.connect(address, this, Transport.chain(new HttpClientFilter(), new ResponseAssembler(this)));
    }

    long number() {
        return number;
    }

    boolean isConnected() {
        return connection != null;
    }

    boolean hasEnded() {
        return ended;
    }

    @Override
    public void completed(Connection<SocketAddress> established) {
        loop.execute(() -> onConnected(established));
    }

    @Override
    public void failed(Throwable cause) {
        fail("connection failed");
    }

    private void onConnected(Connection<SocketAddress> established) {
        connection = established;
        if (ended) {
            established.terminateSilently();
            return;
        }
        listener.onConnected(this);
        HttpRequestPacket.Builder request = HttpRequestPacket.builder()
                .method("GET")
                .uri(PATH)
                .protocol(Protocol.HTTP_1_1)
                .header("Host", address.getHostString() + ':' + address.getPort());
        if (query != null) {
            request.query(query);
        }
        established.write(request.build(), new RequestWritten());
    }

    /** Reports a failure to the listener on the event loop; may be called from any thread. */
    void fail(String reason) {
        loop.execute(() -> listener.onFailure(this, reason));
    }

    /**
     * Ends the call and reports its response to the listener on the event loop, unless the call has already ended; may
     * be called from any thread.
     */
    void respond(String body) {
        loop.execute(() -> {
            if (!ended) {
                end();
                listener.onResponse(this, body);
            }
        });
    }

    /** Closes the connection or cancels connecting; a later response is ignored. */
    void end() {
        ended = true;
        if (connection != null) {
            connection.terminateSilently();
        } else {
            connecting.cancel(true);
        }
    }

    private final class RequestWritten extends EmptyCompletionHandler<WriteResult<Object, SocketAddress>> {
        @Override
        public void failed(Throwable cause) {
            fail("request could not be written");
        }
    }
}
