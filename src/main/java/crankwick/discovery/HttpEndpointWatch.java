package crankwick.discovery;

import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The platform's list of databases over HTTP: makes the calls that a {@link EndpointWatch} decides on. */
public final class HttpEndpointWatch implements Discovery, EndpointWatch.Calls {
    private static final Logger LOG = LoggerFactory.getLogger(HttpEndpointWatch.class);
    private static final String PATH = "/discovery/hosts";
    /** Guards against an answer without end: 1,024 databases take a seventh of it, indented. */
    private static final int MAX_BODY = 2 << 20;

    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock;
    private final Callable<InetSocketAddress> configured;
    private final EndpointListCodec codec;
    private final EndpointList listing;
    private final Consumer<ListUpdate> listener;
    private final EndpointWatch keeper;
    private InetSocketAddress address;
    private Exchange exchange;
    /** The call that was open where discovery was before; until the new place answers, or null. */
    private Exchange left;

    private EventLoop.Timer timer;
    private boolean closed;
    private boolean troubled;
    private String fault;

    /** Goes on from {@code known}, of that version; {@code configured} reads the configured address. */
    public HttpEndpointWatch(
            Transport transport,
            EventLoop loop,
            Clock clock,
            InetSocketAddress address,
            Callable<InetSocketAddress> configured,
            EndpointListCodec codec,
            ListUpdate known,
            long version,
            long seed,
            Consumer<ListUpdate> listener) {
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        this.address = address;
        this.configured = configured;
        this.codec = codec;
        listing = new EndpointList(known.discovered());
        this.listener = listener;
        keeper = new EndpointWatch(version, seed, this);
    }

    @Override
    public void start() {
        keeper.start(clock.now());
        arm();
    }

    /** The old address may end its connections; the watch goes on at the new one. */
    @Override
    public void reload() {
        InetSocketAddress now;
        try {
            now = configured.call();
        } catch (Exception e) {
            LOG.warn("the configuration can't be read, {} stays: {}", address, e.getMessage());
            return;
        }
        if (closed || now.equals(address)) {
            return;
        }
        LOG.info("discovery moves from {} to {}", address, now);
        address = now;
        keeper.moved(clock.now());
        arm();
    }

    @Override
    public void close() {
        closed = true;
        endLeft();
        keeper.end();
        arm();
    }

    @Override
    public void open(long call, long from, long hold) {
        exchange = new Exchange(call, from == EndpointWatch.WHOLE ? null : "from=" + from + "&hold_ms=" + hold / 1_000);
    }

    @Override
    public void end(long call) {
        fault = exchange.connection == null ? "no connection in time" : "silent past its hold";
        exchange.end();
    }

    @Override
    public void leave(long call) {
        endLeft();
        if (exchange.connection == null) {
            exchange.end();
        } else {
            left = exchange;
        }
    }

    private void endLeft() {
        if (left != null) {
            left.end();
            left = null;
        }
    }

    /** Sets the timer to when the keeper wants to be called next; says when trouble begins and ends. */
    private void arm() {
        if (timer != null) {
            timer.cancel();
        }
        long now = clock.now();
        if (keeper.dueAt() < Long.MAX_VALUE) {
            timer = loop.after(Math.max(0, keeper.dueAt() - now), () -> {
                keeper.due(clock.now());
                arm();
            });
        }
        boolean trouble = keeper.troubleSince() < Long.MAX_VALUE;
        if (trouble != troubled) {
            troubled = trouble;
            LOG.info("discovery {}: {}", address, trouble ? fault : "answers again");
        }
    }

    private void onBody(Exchange answered, String body) {
        EndpointListCodec.VersionedList list;
        try {
            list = codec.parse(body);
        } catch (RuntimeException e) {
            LOG.warn("discovery's answer can't be read: {}", e.toString());
            fault = "unreadable";
            keeper.failed(answered.call, clock.now());
            return;
        }
        if (answered == left) {
            left = null;
            if (list.version() >= keeper.version()) {
                listener.accept(listing.take(false, list.entries()));
            }
            return;
        }
        String unread = EndpointList.fault(list.entries());
        if (unread != null) {
            LOG.warn("discovery's answer can't be read in part: {}", unread);
            fault = "unreadable in part";
        }
        if (keeper.answered(answered.call, list.version(), unread == null, clock.now())) {
            endLeft();
            listener.accept(listing.take(list.full(), list.entries()));
        } else {
            LOG.warn("discovery's answer is older than the list had: {}", list.version());
            fault = "older than before";
        }
    }

    /** One call on a connection of its own, which ends with it. */
    private final class Exchange extends EmptyCompletionHandler<Connection<SocketAddress>> {
        final long call;
        private final String query;
        private final Future<?> connecting;
        private Connection<SocketAddress> connection;
        private boolean over;

        /** {@code query} is null for the whole list. */
        Exchange(long call, String query) {
            this.call = call;
            this.query = query;
            connecting = transport.connect(address, this, Transport.chain(new HttpClientFilter(), new Receiver()));
        }

        @Override
        public void completed(Connection<SocketAddress> up) {
            loop.execute(() -> {
                connection = up;
                if (over) {
                    up.terminateSilently();
                    return;
                }
                keeper.connected(call, clock.now());
                arm();
                HttpRequestPacket.Builder request = HttpRequestPacket.builder()
                        .method("GET")
                        .uri(PATH)
                        .protocol(Protocol.HTTP_1_1)
                        .header("Host", address.getHostString() + ':' + address.getPort());
                if (query != null) {
                    request.query(query);
                }
                up.write(request.build(), new EmptyCompletionHandler<WriteResult<Object, SocketAddress>>() {
                    @Override
                    public void failed(Throwable fault) {
                        loop.execute(() -> fail("the call can't be written"));
                    }
                });
            });
        }

        @Override
        public void failed(Throwable why) {
            loop.execute(() -> fail("no connection"));
        }

        private void fail(String why) {
            if (this == left) {
                endLeft();
            } else if (!over) {
                end();
                fault = why;
                keeper.failed(call, clock.now());
                arm();
            }
        }

        private void answered(String body) {
            if (!over) {
                end();
                onBody(this, body);
                arm();
            }
        }

        private void end() {
            over = true;
            if (connection != null) {
                connection.terminateSilently();
            } else {
                connecting.cancel(true);
            }
        }

        /**
         * Puts the answer together. One without a length ends with its connection, however that ends: half a
         * list can't be read.
         */
        private final class Receiver extends BaseFilter {
            private final ByteArrayOutputStream body = new ByteArrayOutputStream();
            private int status;
            private boolean toTheClose;

            @Override
            public NextAction handleRead(FilterChainContext context) {
                HttpContent content = context.getMessage();
                HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
                status = head.getStatus();
                toTheClose = !head.isChunked() && head.getContentLength() < 0;
                byte[] part = new byte[content.getContent().remaining()];
                content.getContent().get(part);
                body.writeBytes(part);
                if (body.size() > MAX_BODY) {
                    loop.execute(() -> fail("an answer of over " + MAX_BODY + " bytes"));
                } else if (content.isLast()) {
                    end();
                }
                return context.getStopAction();
            }

            @Override
            public NextAction handleClose(FilterChainContext context) {
                if (toTheClose) {
                    end();
                } else {
                    loop.execute(() -> fail("the connection ended"));
                }
                return context.getStopAction();
            }

            private void end() {
                int told = status;
                String text = body.toString(StandardCharsets.UTF_8);
                loop.execute(() -> {
                    if (told == 200) {
                        answered(text);
                    } else {
                        fail("status " + told);
                    }
                });
            }
        }
    }
}
