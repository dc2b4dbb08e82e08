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

/** One listener with its broker, database pool and discovery: constructs them, and shuts them down. */
final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);
    /** How long after SIGTERM connections are still accepted: clients arrive for up to 0.4 s. */
    private static final long ACCEPT_AFTER_SIGTERM_MICROS = 450_000;

    /** Logged at intervals, since a process that is killed logs nothing at its end. */
    private static final long COUNTERS_INTERVAL_MICROS = 10_000_000;

    private static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 10_000;

    /** The platform sends SIGKILL no sooner than the longest deadline, up to this maximum, and the delay below. */
    private static final long MAX_DEADLINE_BEFORE_KILL_MICROS = 3_000_000;

    private static final long KILL_DELAY_AFTER_DEADLINE_MICROS = 700_000;

    /** From the signal until the shutdown hook runs, and from its end until the process has ended. */
    private static final long SIGNAL_AND_EXIT_MICROS = 350_000;

    /** Between the last replies and the end; covers an event loop that is late. */
    private static final long LAST_REPLIES_BEFORE_END_MICROS = 150_000;

    /** Fractions of the descriptors; the rest is for discovery, files and the transport. */
    private static final double CLIENT_SOCKET_FRACTION = 0.42;

    private static final double DATABASE_SOCKET_FRACTION = 0.36;

    /** A wire protocol's name and its codecs for both sides. */
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

    /** Failovers are left to the router alone where {@code failoverSettings} is null. */
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

    /** Listens, and is ready once a list that names a database is known. */
    void start(
            InetSocketAddress listen,
            int sockets,
            Discovery.ListUpdate known,
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
            onEndpointsUpdated(known);
            discovery.start();
            loop.schedule(COUNTERS_INTERVAL_MICROS, this::logCounters);
        });
        listener.listen(transport, listen);
    }

    /** Takes an update of the endpoint list over, on the event loop. */
    void onEndpointsUpdated(Discovery.ListUpdate update) {
        runner.updateEndpoints(update);
        if (!update.discoveredEndpoints().isEmpty()) {
            listener.markReady();
        }
    }

    /** Takes a new configuration's discovery over, as a task of the event loop. */
    void reload() {
        loop.execute(() -> {
            if (discovery != null) {
                LOG.info("{} reloading its configuration", protocol.name());
                discovery.reload();
            }
        });
    }

    /** Microseconds from the shutdown hook's start until the process must have ended. */
    private long shutdownTimeoutMicros() {
        long maxDeadline = 0;
        for (RequestClass requestClass : settings.routingSettings().requestClasses()) {
            maxDeadline = Math.max(maxDeadline, requestClass.deadline());
        }
        return Math.min(maxDeadline, MAX_DEADLINE_BEFORE_KILL_MICROS)
                + KILL_DELAY_AFTER_DEADLINE_MICROS
                - SIGNAL_AND_EXIT_MICROS;
    }

    /** Serves on while clients may still connect, then stops listening and drains. */
    void beginClose() {
        long shutdownDeadline = clock.now() + shutdownTimeoutMicros();
        loop.execute(() -> LOG.info(
                "{} shutting down, {} requests open: {}",
                protocol.name(),
                broker.outstandingRequests(),
                allCounters()));
        loop.schedule(Math.min(ACCEPT_AFTER_SIGTERM_MICROS, shutdownTimeoutMicros() / 2), () -> {
            listener.beginShutdown(shutdownDeadline - LAST_REPLIES_BEFORE_END_MICROS);
            awaitDrained(shutdownDeadline);
        });
    }

    /** Waits until all requests are answered, or the time until SIGKILL is over. */
    void awaitClosed() {
        try {
            closed.await(shutdownTimeoutMicros() + LAST_REPLIES_BEFORE_END_MICROS, TimeUnit.MICROSECONDS);
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

    private void logCounters() {
        String counters = allCounters();
        if (!counters.equals(lastCounters)) {
            lastCounters = counters;
            LOG.info("{} counted so far: {}", protocol.name(), counters);
        }
        loop.schedule(COUNTERS_INTERVAL_MICROS, this::logCounters);
    }

    private void awaitDrained(long shutdownDeadline) {
        if (listener.hasNoConnections() && broker.outstandingRequests() == 0 || clock.now() > shutdownDeadline) {
            if (broker.outstandingRequests() > 0 || !listener.hasNoConnections()) {
                LOG.warn("{} shut down with {} requests unanswered", protocol.name(), broker.outstandingRequests());
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
