package crankwick.app;

import crankwick.broker.Broker;
import crankwick.broker.Contract;
import crankwick.client.ClientListener;
import crankwick.client.ClientSettings;
import crankwick.database.DatabasePool;
import crankwick.database.PoolSettings;
import crankwick.discovery.Discovery;
import crankwick.pg.PgDatabaseCodec;
import crankwick.routing.TestSettings;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import crankwick.runtime.EffectRunner;
import crankwick.transport.Clock;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.Assert;

/**
 * A proxy in this process with one primary. A test pauses the event loop while bytes arrive, and so determines the
 * order in which the event loop and the selector thread process them.
 */
final class PausableProxyFixture implements AutoCloseable {
    static final long MICROS_PER_MILLI = 1_000;
    static final long KEY_TTL = 1_000 * MICROS_PER_MILLI;
    private static final long CONNECT_TIMEOUT = 9_000 * MICROS_PER_MILLI;
    private static final long IDLE_TIMEOUT = 60_000 * MICROS_PER_MILLI;
    private static final int MAX_CONNECTIONS = 100;

    final ScriptedDatabase.AttemptLog attemptLog = new ScriptedDatabase.AttemptLog();
    final ScriptedDatabase database;
    final LineProtocolCodec wire = new LineProtocolCodec();
    final Clock clock = new Clock();
    final EventLoop loop = new EventLoop("pausable");
    final Broker broker;
    final ClientListener clientListener;
    private final Transport transport = new Transport();
    private final List<LoopPause> pauses = new ArrayList<>();

    PausableProxyFixture(int maxSessions) throws Exception {
        this(maxSessions, CONNECT_TIMEOUT);
    }

    PausableProxyFixture(int maxSessions, long connectTimeout) throws Exception {
        RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 6_000 * MICROS_PER_MILLI, connectTimeout, true);
        broker = new Broker(settings, 1, Map.of("", Contract.UNLIMITED), null);
        EffectRunner runner = new EffectRunner(broker, loop, clock);
        clientListener = new ClientListener(
                runner, loop, clock, wire, new ClientSettings(settings, List.of("write"), ""::equals, maxSessions));
        runner.attachExecutors(
                clientListener,
                new DatabasePool(
                        runner,
                        loop,
                        clock,
                        transport,
                        new PgDatabaseCodec(),
                        new PoolSettings(connectTimeout, IDLE_TIMEOUT, MAX_CONNECTIONS)));
        database = new ScriptedDatabase("primary", "read-write", new PgTestClient(), attemptLog);
        var address = new InetSocketAddress("127.0.0.1", database.listener.getLocalPort());
        Endpoint endpoint = new Endpoint("primary", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0);
        loop.execute(() -> {
            runner.updateEndpoints(new Discovery.ListUpdate(
                    EndpointUpdateKind.FULL, List.of(new Discovery.DiscoveredEndpoint(endpoint, address))));
            clientListener.markReady();
        });
        clientListener.listen(transport, new InetSocketAddress("127.0.0.1", 0));
    }

    /** Stops the event loop at this entry of its queue until resumed; later entries wait. */
    static final class LoopPause {
        private final CountDownLatch paused = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);

        private void run() {
            paused.countDown();
            try {
                resumed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void await() throws InterruptedException {
            paused.await();
        }

        void resume() {
            resumed.countDown();
        }
    }

    /** Puts a pause at the end of the event loop's queue. */
    LoopPause queueLoopPause() {
        LoopPause pause = new LoopPause();
        pauses.add(pause);
        loop.execute(pause::run);
        return pause;
    }

    /** Pauses the event loop; it has stopped when this returns. */
    LoopPause pauseLoop() throws InterruptedException {
        LoopPause pause = queueLoopPause();
        pause.await();
        return pause;
    }

    /** Runs a task on the event loop and waits for it. */
    void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    /**
     * Waits until this many requests have no answer, and fails if that takes over 5 s. The event loop processes many
     * messages of one client in several turns, between which it runs other tasks.
     */
    void awaitOutstandingRequests(long expected) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (outstandingRequests() != expected && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
        Assert.assertEquals(outstandingRequests(), expected);
    }

    /** Number of requests without an answer. */
    long outstandingRequests() throws InterruptedException {
        AtomicLong count = new AtomicLong();
        onLoop(() -> count.set(broker.outstandingRequests()));
        return count.get();
    }

    /**
     * Waits until the selector thread has read all bytes that arrived before the call. The selector may process
     * events of one selection in any order, so only a second connection is certain to be accepted after those bytes.
     */
    void awaitSelectorThread() throws IOException, InterruptedException {
        wire.acceptedConnections.drainPermits();
        for (int i = 0; i < 2; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(clientListener.address());
                wire.acceptedConnections.acquire();
            }
        }
    }

    /** A client whose login and first, empty query have been answered. */
    final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final BufferedReader in;

        Client() throws IOException, InterruptedException {
            socket.connect(clientListener.address());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            send("");
            List<String> answers = new ArrayList<>(List.of(readAnswer(), readAnswer()));
            if (!answers.equals(List.of("LoginAccepted", "EmptyQueryResponse"))) {
                throw new IOException(answers.toString());
            }
            onLoop(() -> {});
        }

        /** Sends a command; the selector thread has read it when this returns, also while the event loop is paused. */
        void send(String line) throws IOException, InterruptedException {
            wire.commandsRead.drainPermits();
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            wire.commandsRead.acquire();
        }

        /** Sends part of a command. */
        void sendPart(String part) throws IOException {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
        }

        void sendWrite(String id, int deadlineMillis) throws IOException, InterruptedException {
            send("/* id=" + id + ",c=write,d=" + deadlineMillis + ",k=k" + id + ",cluster=0 */ INSERT");
        }

        /** The next answer; null if the proxy has closed the connection. */
        String readAnswer() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        pauses.forEach(LoopPause::resume);
        loop.close();
        transport.close();
        database.close();
    }
}
