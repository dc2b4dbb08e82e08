package crankwick.app;

import java.io.DataInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A loopback database that replies as its fields say and records the statements that it receives. */
final class ScriptedDatabase extends LoopbackServer {
    /** A statement that a database received, with the request's id and the time when it was complete. */
    record Attempt(String server, String id, String statement, long receivedAt) {}

    /** The attempts that the databases of a test have received, and the violations that they found. */
    static final class AttemptLog {
        final List<Attempt> attempts = new CopyOnWriteArrayList<>();
        final List<String> violations = new CopyOnWriteArrayList<>();
        private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

        long countAttempts(String id) {
            return attempts.stream().filter(s -> s.id().equals(id)).count();
        }

        List<Attempt> attemptsAt(String server) {
            return attempts.stream().filter(s -> s.server().equals(server)).toList();
        }
    }

    private static final int RECEIVE_BUFFER_BYTES = 8 * 1_024;
    private static final int MAX_PIECE_BYTES = 1_024;

    final String name;
    volatile String mode;
    /**
     * The reply to a statement. VALUE, or the errors STALE, OVERLOADED and ERROR; NO_REPLY: none is sent; DISCONNECT:
     * the connection is closed instead; MALFORMED: every third reply is malformed, in each of the wire's ways in turn;
     * DUPLICATE: the value and a copy of it, in alternation in one write and in two; SPLIT: the value in two halves,
     * each after a permit of {@link #splitPermits}; INVALID_REPORT: the value with a load report that can't be parsed.
     */
    volatile String replyKind = "VALUE";

    final Semaphore splitPermits = new Semaphore(0);
    private int answerCount;
    /** The pause after each part of a reply, before the next one. */
    volatile int copyDelayMillis = 1;

    volatile boolean answersEmptyQueries = true;
    volatile int delayMillis;
    /** Number of characters that precede each value. */
    volatile int paddingChars;

    /** How fast statements are read; 0 for as fast as they arrive. The receive buffer is small in either case. */
    volatile int readBytesPerSecond;

    /** Delay before the login on a new connection is accepted. */
    volatile int greetingDelayMillis;
    /** Logins on new connections are accepted once this opens. */
    volatile CountDownLatch greetingLatch = new CountDownLatch(0);

    /** Number of connections whose login has been accepted. */
    final AtomicInteger greetedConnections = new AtomicInteger();
    /** Resets every fifth new connection, and every other connection when its second statement arrives. */
    volatile boolean resetsConnections;

    private int accepted;
    /** Number of connections ever accepted and not reset at once. */
    final AtomicInteger openedConnections = new AtomicInteger();
    /** Connections idle for this long are closed, as databases do; 0 for no limit. */
    volatile int idleTimeoutMillis;

    private final TestWireClient wire;
    private final AttemptLog attemptLog;

    ScriptedDatabase(String name, String mode, TestWireClient wire, AttemptLog attemptLog) throws IOException {
        this.name = name;
        this.mode = mode;
        this.wire = wire;
        this.attemptLog = attemptLog;
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        start();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(new ThrottledInput(socket.getInputStream()));
        if (resetsConnections && accepted++ % 5 == 4) {
            socket.setSoLinger(true, 0);
            return;
        }
        openedConnections.incrementAndGet();
        Thread.sleep(greetingDelayMillis);
        greetingLatch.await();
        wire.acceptLogin(socket, in);
        greetedConnections.incrementAndGet();
        int statements = 0;
        while (true) {
            socket.setSoTimeout(idleTimeoutMillis);
            String statement = wire.readStatement(in);
            if (statement == null) {
                return;
            }
            if (statement.isEmpty()) {
                if (answersEmptyQueries) {
                    socket.getOutputStream().write(wire.emptyQueryReply());
                }
                continue;
            }
            if (resetsConnections && statements++ > 0) {
                socket.setSoLinger(true, 0);
                return;
            }
            boolean probe = wire.isProbe(statement);
            if (probe ? !answerProbe(socket) : !answer(socket, in, statement)) {
                return;
            }
        }
    }

    private boolean answerProbe(Socket socket) throws IOException {
        if (!replyKind.equals("NO_REPLY")) {
            socket.getOutputStream().write(wire.encodeReply(reply("VALUE", ""), true));
        }
        return true;
    }

    private boolean answer(Socket socket, DataInputStream in, String statement) throws IOException {
        long receivedAt = System.nanoTime();
        String id = statement.replaceAll("(?s).*?id=([^, ]*).*", "$1");
        attemptLog.attempts.add(new Attempt(name, id, statement, receivedAt));
        if (!attemptLog.inFlight.add(id)) {
            attemptLog.violations.add("two attempts of " + id + " in flight");
        }
        try {
            String kind = replyKind;
            int wait = kind.equals("NO_REPLY") ? 60_000 : delayMillis;
            if (wait > 0 && !staysOpen(socket, in, wait) || kind.equals("DISCONNECT")) {
                return false;
            }
            attemptLog.inFlight.remove(id);
            for (byte[] part : replyParts(kind, reply(kind, "v".repeat(paddingChars) + name + ":" + id))) {
                if (kind.equals("SPLIT")) {
                    splitPermits.acquire();
                }
                socket.getOutputStream().write(part);
                Thread.sleep(copyDelayMillis);
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        } finally {
            attemptLog.inFlight.remove(id);
        }
    }

    private synchronized List<byte[]> replyParts(String kind, TestWireClient.DatabaseReply reply) {
        byte[][] malformed = wire.malformedReplies(reply);
        if (kind.equals("MALFORMED") && answerCount++ % 3 == 2) {
            return List.of(malformed[answerCount / 3 % malformed.length]);
        }
        byte[] encoded = wire.encodeReply(reply, false);
        if (kind.equals("SPLIT")) {
            int half = encoded.length / 2;
            return List.of(Arrays.copyOf(encoded, half), Arrays.copyOfRange(encoded, half, encoded.length));
        }
        if (!kind.equals("DUPLICATE")) {
            return List.of(encoded);
        }
        byte[] both = Arrays.copyOf(encoded, 2 * encoded.length);
        System.arraycopy(encoded, 0, both, encoded.length, encoded.length);
        return answerCount++ % 2 == 0 ? List.of(both) : List.of(encoded, encoded);
    }

    /** A database that rejects reads as stale reports a position 10 s in the past. */
    private TestWireClient.DatabaseReply reply(String kind, String value) {
        long behind = replyKind.equals("STALE") ? 10_000 : 0;
        long position = System.currentTimeMillis() - behind;
        return switch (kind) {
            case "INVALID_REPORT" -> new TestWireClient.DatabaseReply("VALUE", value, mode, position, "x0=9e99,x1=\1");
            case "DUPLICATE", "MALFORMED", "SPLIT" -> new TestWireClient.DatabaseReply("VALUE", value, mode, position);
            default -> new TestWireClient.DatabaseReply(kind, value, mode, position);
        };
    }

    /** Reads at the pace of {@link #readBytesPerSecond}, in pieces. */
    private final class ThrottledInput extends FilterInputStream {
        ThrottledInput(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int rate = readBytesPerSecond;
            if (rate == 0) {
                return super.read(bytes, offset, length);
            }
            int piece = Math.min(length, MAX_PIECE_BYTES);
            try {
                Thread.sleep(TimeUnit.SECONDS.toMillis(piece) / rate);
            } catch (InterruptedException e) {
                throw new InterruptedIOException();
            }
            return super.read(bytes, offset, piece);
        }
    }

    /** Waits; returns false if the proxy closes the connection meanwhile. */
    private static boolean staysOpen(Socket socket, DataInputStream in, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }
}
