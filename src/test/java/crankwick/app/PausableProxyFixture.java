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
 * A front with one primary behind it, in this process. A test holds the loop while bytes arrive, so that the
 * order in which the loop and the thread that reads come upon them is the test's own.
 */
final class PausableProxyFixture implements AutoCloseable {
    static final long MS = 1_000;
    static final long KEY_TTL = 1_000 * MS;
    private static final long CONNECT_TIMEOUT = 9_000 * MS;
    private static final long IDLE_LIMIT = 60_000 * MS;
    private static final int MAX_LINKS = 100;

    final ScriptedDatabase.Ledger ledger = new ScriptedDatabase.Ledger();
    final ScriptedDatabase database;
    final LineProtocolCodec wire = new LineProtocolCodec();
    final Clock clock = new Clock();
    final EventLoop loop = new EventLoop("held");
    final Broker broker;
    final ClientListener front;
    private final Transport transport = new Transport();
    private final List<Hold> holds = new ArrayList<>();

    PausableProxyFixture(int maxSessions) throws Exception {
        this(maxSessions, CONNECT_TIMEOUT);
    }

    PausableProxyFixture(int maxSessions, long connectTimeout) throws Exception {
        RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 6_000 * MS, connectTimeout, true);
        broker = new Broker(settings, 1, Map.of("", Contract.UNLIMITED), null);
        EffectRunner runner = new EffectRunner(broker, loop, clock);
        front = new ClientListener(
                runner, loop, clock, wire, new ClientSettings(settings, List.of("write"), ""::equals, maxSessions));
        runner.attachExecutors(
                front,
                new DatabasePool(
                        runner,
                        loop,
                        clock,
                        transport,
                        new PgDatabaseCodec(),
                        new PoolSettings(connectTimeout, IDLE_LIMIT, MAX_LINKS)));
        database = new ScriptedDatabase("primary", "read-write", new PgTestClient(), ledger);
        var address = new InetSocketAddress("127.0.0.1", database.listener.getLocalPort());
        Endpoint member = new Endpoint("primary", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0);
        loop.execute(() -> {
            runner.updateEndpoints(new Discovery.ListUpdate(
                    EndpointUpdateKind.FULL, List.of(new Discovery.DiscoveredEndpoint(member, address))));
            front.markReady();
        });
        front.listen(transport, new InetSocketAddress("127.0.0.1", 0));
    }

    /** The loop stands still from where this is in its queue; what arrives later waits its turn. */
    static final class Hold {
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

        void release() {
            released.countDown();
        }
    }

    /** Puts a hold at the end of the loop's queue. */
    Hold queueHold() {
        Hold hold = new Hold();
        holds.add(hold);
        loop.execute(hold::run);
        return hold;
    }

    /** The loop stands still when this returns. */
    Hold hold() throws InterruptedException {
        Hold hold = queueHold();
        hold.await();
        return hold;
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
    long owed() throws InterruptedException {
        AtomicLong owed = new AtomicLong();
        onLoop(() -> owed.set(broker.outstandingRequests()));
        return owed.get();
    }

    /**
     * What had arrived before has been read when this returns. Of what arrives together any may be read
     * first, so the second connection is the one that surely comes behind.
     */
    void awaitReader() throws IOException, InterruptedException {
        wire.accepted.drainPermits();
        for (int i = 0; i < 2; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(front.address());
                wire.accepted.acquire();
            }
        }
    }

    /** A client that has asked once. */
    final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final BufferedReader in;

        Client() throws IOException, InterruptedException {
            socket.connect(front.address());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            send("");
            List<String> answers = new ArrayList<>(List.of(answer(), answer()));
            if (!answers.equals(List.of("LoginAccepted", "EmptyQueryResponse"))) {
                throw new IOException(answers.toString());
            }
            onLoop(() -> {});
        }

        /** Sends a command; with the loop held, the reader has it when this returns. */
        void send(String line) throws IOException, InterruptedException {
            wire.read.drainPermits();
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            wire.read.acquire();
        }

        /** Sends a part of a command. */
        void begin(String part) throws IOException {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
        }

        void write(String id, int waitMs) throws IOException, InterruptedException {
            send("/* id=" + id + ",c=write,d=" + waitMs + ",k=k" + id + ",cluster=0 */ INSERT");
        }

        /** The next answer; null where the proxy has ended the connection. */
        String answer() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        holds.forEach(Hold::release);
        loop.close();
        transport.close();
        database.close();
    }
}
