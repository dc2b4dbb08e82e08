package crankwick.app;

import crankwick.broker.Broker;
import crankwick.broker.Contract;
import crankwick.client.ClientListener;
import crankwick.client.ClientSettings;
import crankwick.database.DatabasePool;
import crankwick.database.PoolSettings;
import crankwick.discovery.Discovery;
import crankwick.failover.FailoverSettings;
import crankwick.routing.api.RequestClass;
import crankwick.runtime.EffectRunner;
import crankwick.settings.SettingsCodec;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns a listener with its broker, database pool and discovery: creates, starts, reloads and closes them. */
final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);
    /**
     * How long connections are still accepted after SIGTERM, because clients may connect for up to 0.4 s after it; at
     * most half of the time that is available for the shutdown.
     */
    private static final long ACCEPT_AFTER_SIGTERM_MICROS = 450_000;

    /** Counters are also logged periodically, because a process that is killed cannot log them at exit. */
    private static final long COUNTERS_INTERVAL_MICROS = 10_000_000;

    private static final long BYTES_PER_KILOBYTE = 1_024;
    private static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 10_000;

    /**
     * Caps the longest deadline of the request classes in the time before SIGKILL: the platform sends SIGKILL no
     * earlier than the capped deadline plus {@link #KILL_DELAY_AFTER_DEADLINE_MICROS} after SIGTERM.
     */
    private static final long MAX_DEADLINE_BEFORE_KILL_MICROS = 3_000_000;

    private static final long KILL_DELAY_AFTER_DEADLINE_MICROS = 700_000;

    /** Time from SIGTERM to the start of the shutdown hook plus time from the hook's end to process exit. */
    private static final long SIGNAL_AND_EXIT_MICROS = 350_000;

    /**
     * Margin between the last replies and the shutdown deadline; covers delays of the event loop. {@link #awaitClosed}
     * waits up to this long after the deadline.
     */
    private static final long LAST_REPLY_MARGIN_MICROS = 150_000;

    /**
     * Fractions of the socket limit for client and database connections; the rest is reserved for discovery, files and
     * the transport.
     */
    private static final double CLIENT_SOCKET_FRACTION = 0.42;

    private static final double DATABASE_SOCKET_FRACTION = 0.36;

    /** A wire protocol's name and its codecs for client and database connections. */
    record Protocol(String name, CodecFilter clientCodec, CodecFilter databaseCodec) {}

    private final Protocol protocol;
    private final SettingsCodec settings;
    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Broker broker;
    private final EffectRunner runner;
    private final ClientListener listener;
    private Discovery discovery;
    private volatile DatabasePool pool;
    private String lastCounters = "";
    private final CountDownLatch closed = new CountDownLatch(1);

    /** With null {@code failoverSettings}, there is no failover coordinator and only the router handles failovers. */
    Service(
            Protocol protocol,
            SettingsCodec settings,
            long seed,
            Map<String, Contract> contracts,
            int sockets,
            Transport transport,
            FailoverSettings failoverSettings) {
        this.protocol = protocol;
        this.settings = settings;
        this.transport = transport;
        loop = new EventLoop("loop-" + protocol.name());
        broker = new Broker(settings.routingSettings(), seed, contracts, failoverSettings);
        runner = new EffectRunner(broker, loop, clock);
        listener = new ClientListener(
                runner,
                loop,
                clock,
                protocol.clientCodec(),
                new ClientSettings(
                        settings.routingSettings(), settings.requestClassNames(), contracts::containsKey, (int)
                                (sockets * CLIENT_SOCKET_FRACTION)));
    }

    /**
     * Opens the listening socket, and runs the warm-up and starts discovery in an event loop task. The listener becomes
     * ready with the first endpoint list that is not empty.
     */
    void start(
            InetSocketAddress listen,
            int sockets,
            Discovery.ListUpdate initialEndpoints,
            BiFunction<EventLoop, Clock, Discovery> discoveryFactory)
            throws IOException {
        pool = new DatabasePool(
                runner,
                loop,
                clock,
                transport,
                protocol.databaseCodec(),
                new PoolSettings(
                        settings.routingSettings().limits().connectTimeout(), settings.connectionIdleTimeout(), (int)
                                (sockets * DATABASE_SOCKET_FRACTION)));
        loop.execute(() -> {
            new StartupWarmup(settings, protocol.clientCodec(), protocol.databaseCodec()).run();
            discovery = discoveryFactory.apply(loop, clock);
            runner.attachExecutors(listener, pool);
            onEndpointsUpdated(initialEndpoints);
            discovery.start();
            loop.schedule(COUNTERS_INTERVAL_MICROS, this::logCounters);
        });
        listener.listen(transport, listen);
    }

    /** Applies an endpoint list update; runs on the event loop. */
    void onEndpointsUpdated(Discovery.ListUpdate update) {
        runner.updateEndpoints(update);
        if (!update.discoveredEndpoints().isEmpty()) {
            listener.markReady();
        }
    }

    /** Reloads the discovery configuration in an event loop task. */
    void reload() {
        loop.execute(() -> {
            if (discovery != null) {
                LOG.info("{} listener: reloading the discovery configuration", protocol.name());
                discovery.reload();
            }
        });
    }

    /**
     * Time from the start of the shutdown hook to the shutdown deadline, in microseconds, so that the process exits
     * before SIGKILL.
     */
    private long shutdownTimeoutMicros() {
        long maxDeadline = 0;
        for (RequestClass requestClass : settings.routingSettings().requestClasses()) {
            maxDeadline = Math.max(maxDeadline, requestClass.deadline());
        }
        return Math.min(maxDeadline, MAX_DEADLINE_BEFORE_KILL_MICROS)
                + KILL_DELAY_AFTER_DEADLINE_MICROS
                - SIGNAL_AND_EXIT_MICROS;
    }

    /**
     * Starts the shutdown: the service accepts connections while clients may still connect, then stops listening and
     * drains. Returns at once.
     */
    void beginClose() {
        long shutdownDeadline = clock.now() + shutdownTimeoutMicros();
        loop.execute(() -> LOG.info(
                "{} listener: shutting down with {} outstanding requests; counts so far: {}",
                protocol.name(),
                broker.outstandingRequests(),
                allCounters()));
        loop.schedule(Math.min(ACCEPT_AFTER_SIGTERM_MICROS, shutdownTimeoutMicros() / 2), () -> {
            listener.beginShutdown(shutdownDeadline - LAST_REPLY_MARGIN_MICROS);
            awaitDrained(shutdownDeadline);
        });
    }

    /**
     * Waits until no client connections are open and no requests are outstanding, or the shutdown deadline has passed;
     * then logs the counters.
     */
    void awaitClosed() {
        try {
            closed.await(shutdownTimeoutMicros() + LAST_REPLY_MARGIN_MICROS, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("{} counters: {}", protocol.name(), allCounters());
        if (broker.failoverCoordinator() != null) {
            LOG.info(
                    "{} handover: {}",
                    protocol.name(),
                    broker.failoverCoordinator().counters());
        }
    }

    private String allCounters() {
        return broker.counters() + " clients: " + listener.counters() + " databases: " + pool.counters();
    }

    private static String heapUse() {
        Runtime runtime = Runtime.getRuntime();
        return "process: heap_used_kb=" + (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_KILOBYTE
                + " heap_max_kb=" + runtime.maxMemory() / BYTES_PER_KILOBYTE;
    }

    private void logCounters() {
        String counters = allCounters();
        if (!counters.equals(lastCounters)) {
            lastCounters = counters;
            LOG.info("{} listener: counts so far: {} {}", protocol.name(), counters, heapUse());
        }
        loop.schedule(COUNTERS_INTERVAL_MICROS, this::logCounters);
    }

    private void awaitDrained(long shutdownDeadline) {
        if (listener.hasNoConnections() && broker.outstandingRequests() == 0 || clock.now() > shutdownDeadline) {
            if (broker.outstandingRequests() > 0 || !listener.hasNoConnections()) {
                LOG.warn(
                        "{} listener: not drained before the shutdown deadline; closing with {} outstanding requests",
                        protocol.name(),
                        broker.outstandingRequests());
            }
            if (discovery != null) {
                discovery.close();
            }
            closed.countDown();
        } else {
            loop.schedule(SHUTDOWN_CHECK_INTERVAL_MICROS, () -> awaitDrained(shutdownDeadline));
        }
    }
}
