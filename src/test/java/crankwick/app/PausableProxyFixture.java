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
import java.util.concurrent.atomic.AtomicLong;

/**
 * A proxy in this process with one primary. A test pauses the event loop while bytes arrive, and so determines the
 * order in which the event loop and the selector thread process them.
 */
final class PausableProxyFixture implements AutoCloseable {
    static final long MS = 1_000;
    static final long KEY_TTL = 1_000 * MS;
    private static final long CONNECT_TIMEOUT = 9_000 * MS;
    private static final long IDLE_LIMIT = 60_000 * MS;
    private static final int MAX_LINKS = 100;

    final ScriptedDatabase.AttemptLog attemptLog = new ScriptedDatabase.AttemptLog();
    final ScriptedDatabase database;
    final LineProtocolCodec wire = new LineProtocolCodec();
    final Clock clock = new Clock();
    final EventLoop loop = new EventLoop("held");
    final Broker broker;
    final ClientListener clientListener;
    private final Transport transport = new Transport();
    private final List<LoopPause> pauses = new ArrayList<>();

    PausableProxyFixture(int maxSessions) throws Exception {
        this(maxSessions, CONNECT_TIMEOUT);
    }

    PausableProxyFixture(int maxSessions, long connectTimeout) throws Exception {
        RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 6_000 * MS, connectTimeout, true);
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
                        new PoolSettings(connectTimeout, IDLE_LIMIT, MAX_LINKS)));
        database = new ScriptedDatabase("primary", "read-write", new PgTestClient(), attemptLog);
        var address = new InetSocketAddress("127.0.0.1", database.listener.getLocalPort());
        Endpoint member = new Endpoint("primary", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0);
        loop.execute(() -> {
            runner.updateEndpoints(new Discovery.ListUpdate(
                    EndpointUpdateKind.FULL, List.of(new Discovery.DiscoveredEndpoint(member, address))));
            clientListener.markReady();
        });
        clientListener.listen(transport, new InetSocketAddress("127.0.0.1", 0));
    }

    /** The loop stands still from where this is in its queue; what arrives later waits its turn. */
    static final class LoopPause {
        private final CountDownLatch holding = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        private void run() {
            holding.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void await() throws InterruptedException {
            holding.await();
        }

        void resume() {
            released.countDown();
        }
    }

    /** Puts a hold at the end of the loop's queue. */
    LoopPause queueLoopPause() {
        LoopPause pause = new LoopPause();
        pauses.add(pause);
        loop.execute(pause::run);
        return pause;
    }

    /** The loop stands still when this returns. */
    LoopPause pauseLoop() throws InterruptedException {
        LoopPause pause = queueLoopPause();
        pause.await();
        return pause;
    }

    /** Runs a task on the loop and waits for it. */
    void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await();
    }

    /** Requests that are still owed an answer. */
    long outstandingRequests() throws InterruptedException {
        AtomicLong owed = new AtomicLong();
        onLoop(() -> owed.set(broker.outstandingRequests()));
        return owed.get();
    }

    /**
     * What had arrived before has been read when this returns. Of what arrives together any may be read
     * first, so the second connection is the one that surely comes behind.
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

    /** A client that has asked once. */
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

        /** Sends a command; with the loop held, the reader has it when this returns. */
        void send(String line) throws IOException, InterruptedException {
            wire.commandsRead.drainPermits();
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            wire.commandsRead.acquire();
        }

        /** Sends a part of a command. */
        void sendPart(String part) throws IOException {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
        }

        void sendWrite(String id, int deadlineMs) throws IOException, InterruptedException {
            send("/* id=" + id + ",c=write,d=" + deadlineMs + ",k=k" + id + ",cluster=0 */ INSERT");
        }

        /** The next answer; null where the proxy has ended the connection. */
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
