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

/** One front with its broker, its databases and its list of them: the parts put together, and taken down. */
final class Service {
    private static final Logger LOG = LoggerFactory.getLogger(Service.class);
    /** After SIGTERM new connections arrive for up to 0.4 s; until then everything goes on. */
    private static final long LINGER = 450_000;

    /** How often the counters are logged: a process that is killed has no last word. */
    private static final long COUNTERS_EVERY = 10_000_000;

    private static final long CLOSE_CHECK = 10_000;
    /** The platform kills no sooner after SIGTERM than the longest deadline, at most this, and this more. */
    private static final long KILL_AFTER_DEADLINE_MOST = 3_000_000;

    private static final long KILL_AFTER = 700_000;
    /** From the signal until the shutdown hook runs, and from its end until the process has ended. */
    private static final long SIGNAL_AND_EXIT = 350_000;
    /** The last answers are made so long before the end: a loop that is late on part of a core included. */
    private static final long LAST_ANSWERS_BEFORE_END = 150_000;
    /** Shares of the descriptors; the rest is for discovery, files and the transport. */
    private static final double CLIENT_SHARE = 0.42;

    private static final double DATABASE_SHARE = 0.36;

    /** What one wire needs. */
    record Wire(String name, CodecFilter front, CodecFilter database) {}

    private final Wire wire;
    private final SettingsCodec settings;
    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Broker broker;
    private final EffectRunner runner;
    private final ClientListener front;
    private Discovery discovery;
    private volatile DatabasePool pool;
    private String lastCounters = "";
    private final CountDownLatch closed = new CountDownLatch(1);

    /** {@code changes} of primaries are left to the router alone where null. */
    Service(
            Wire wire,
            SettingsCodec settings,
            long seed,
            Map<String, Contract> contracts,
            int sockets,
            Transport transport,
            FailoverSettings changes) {
        this.wire = wire;
        this.settings = settings;
        this.transport = transport;
        loop = new EventLoop("loop-" + wire.name());
        broker = new Broker(settings.routingSettings(), seed, contracts, changes);
        runner = new EffectRunner(broker, loop, clock);
        front = new ClientListener(
                runner,
                loop,
                clock,
                wire.front(),
                new ClientSettings(settings.routingSettings(), settings.classNames(), contracts::containsKey, (int)
                        (sockets * CLIENT_SHARE)));
    }

    /** Listens, and is ready once a list that names a database is known. */
    void start(
            InetSocketAddress listen,
            int sockets,
            Discovery.ListUpdate known,
            BiFunction<EventLoop, Clock, Discovery> discoveryOn)
            throws IOException {
        pool = new DatabasePool(
                runner,
                loop,
                clock,
                transport,
                wire.database(),
                new PoolSettings(settings.routingSettings().limits().connectTimeout(), settings.connIdle(), (int)
                        (sockets * DATABASE_SHARE)));
        loop.execute(() -> {
            new StartupWarmup(settings, wire.front(), wire.database()).run();
            discovery = discoveryOn.apply(loop, clock);
            runner.attach(front, pool);
            onListed(known);
            discovery.start();
            loop.after(COUNTERS_EVERY, this::logCounters);
        });
        front.listen(transport, listen);
    }

    /** News of the list, on the loop. */
    void onListed(Discovery.ListUpdate news) {
        runner.listed(news);
        if (!news.discovered().isEmpty()) {
            front.ready();
        }
    }

    /** Takes a new configuration's discovery over; an event like others, in turn with those of the end. */
    void reload() {
        loop.execute(() -> {
            if (discovery != null) {
                LOG.info("{} reads its configuration again", wire.name());
                discovery.reload();
            }
        });
    }

    /** From the shutdown hook's start, how long the process may still take. */
    private long timeToEnd() {
        long longest = 0;
        for (RequestClass kind : settings.routingSettings().requestClasses()) {
            longest = Math.max(longest, kind.deadline());
        }
        return Math.min(longest, KILL_AFTER_DEADLINE_MOST) + KILL_AFTER - SIGNAL_AND_EXIT;
    }

    /** Serves on while clients may still come, then answers what is owed. */
    void beginClose() {
        long latest = clock.now() + timeToEnd();
        loop.execute(() -> LOG.info(
                "{} told to end, {} requests open: {}", wire.name(), broker.unansweredRequests(), allCounters()));
        loop.after(Math.min(LINGER, timeToEnd() / 2), () -> {
            front.close(latest - LAST_ANSWERS_BEFORE_END);
            awaitEnd(latest);
        });
    }

    /** Waits until all is answered, or the time for it is over. */
    void awaitClosed() {
        try {
            closed.await(timeToEnd() + LAST_ANSWERS_BEFORE_END, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOG.info("{} counters: {}", wire.name(), allCounters());
        if (broker.failover() != null) {
            LOG.info("{} handover: {}", wire.name(), broker.failover().counters());
        }
    }

    private String allCounters() {
        return broker.counters() + " clients: " + front.counters() + " databases: " + pool.counters();
    }

    private void logCounters() {
        String now = allCounters();
        if (!now.equals(lastCounters)) {
            lastCounters = now;
            LOG.info("{} counted so far: {}", wire.name(), now);
        }
        loop.after(COUNTERS_EVERY, this::logCounters);
    }

    private void awaitEnd(long latest) {
        if (front.isEmpty() && broker.unansweredRequests() == 0 || clock.now() > latest) {
            if (broker.unansweredRequests() > 0 || !front.isEmpty()) {
                LOG.warn("{} ends with {} requests not answered", wire.name(), broker.unansweredRequests());
            }
            if (discovery != null) {
                discovery.close();
            }
            closed.countDown();
        } else {
            loop.after(CLOSE_CHECK, () -> awaitEnd(latest));
        }
    }
}
