package crankwick.app;

import java.io.DataInputStream;
import java.io.IOException;
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

/** A small database: answers as it is told to, and notes what it was sent and when. */
final class ScriptedDatabase extends LoopbackServer {
    /** What a database was sent: the request's id and when its last byte had come. */
    record Attempt(String server, String id, String statement, long receivedAt) {}

    /** What all the databases of a test have seen; the rules are read off it. */
    static final class AttemptLog {
        final List<Attempt> attempts = new CopyOnWriteArrayList<>();
        final List<String> violations = new CopyOnWriteArrayList<>();
        /** Values whose copy the machine held up past the time within which a copy must come to light. */
        final Set<String> delayedCopies = ConcurrentHashMap.newKeySet();

        private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

        long countAttempts(String id) {
            return attempts.stream().filter(s -> s.id().equals(id)).count();
        }

        List<Attempt> attemptsAt(String server) {
            return attempts.stream().filter(s -> s.server().equals(server)).toList();
        }
    }

    /** A proxy rests a connection for 10 ms after an answer; a copy that left by then must not be taken. */
    private static final long COPY_BY = TimeUnit.MILLISECONDS.toNanos(8);

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
    private int answers;
    volatile int delayMs;
    /** A value has so many characters before it. */
    volatile int paddingChars;

    /** A new connection is greeted after so long. */
    volatile int greetingDelayMs;
    /** A new connection is greeted once this is open; how many were. */
    volatile CountDownLatch greetingLatch = new CountDownLatch(0);

    final AtomicInteger greetedConnections = new AtomicInteger();
    /** Every fifth new connection is reset, and what had been answered on is reset by the next statement. */
    volatile boolean resetsConnections;

    private int accepted;
    /** Connections that ever came up. */
    final AtomicInteger openedConnections = new AtomicInteger();
    /** Connections idle for so long are ended, as databases do. */
    volatile int idleTimeoutMs;

    private final TestWireClient wire;
    private final AttemptLog attemptLog;

    ScriptedDatabase(String name, String mode, TestWireClient wire, AttemptLog attemptLog) throws IOException {
        this.name = name;
        this.mode = mode;
        this.wire = wire;
        this.attemptLog = attemptLog;
        start();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        if (resetsConnections && accepted++ % 5 == 4) {
            socket.setSoLinger(true, 0);
            return;
        }
        openedConnections.incrementAndGet();
        Thread.sleep(greetingDelayMs);
        greetingLatch.await();
        wire.acceptLogin(socket, in);
        greetedConnections.incrementAndGet();
        for (int asked = 0; ; asked++) {
            socket.setSoTimeout(idleTimeoutMs);
            String statement = wire.readStatement(in);
            if (statement == null) {
                return;
            }
            if (resetsConnections && asked > 0) {
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
            socket.getOutputStream().write(wire.encodeReply(verdict("VALUE", ""), true));
        }
        return true;
    }

    private boolean answer(Socket socket, DataInputStream in, String statement) throws IOException {
        long at = System.nanoTime();
        String id = statement.replaceAll("(?s).*?id=([^, ]*).*", "$1");
        attemptLog.attempts.add(new Attempt(name, id, statement, at));
        if (!attemptLog.inFlight.add(id)) {
            attemptLog.violations.add("two attempts of " + id + " in flight");
        }
        try {
            String verdict = replyKind;
            int wait = verdict.equals("NO_REPLY") ? 60_000 : delayMs;
            if (wait > 0 && !stays(socket, in, wait) || verdict.equals("DISCONNECT")) {
                return false;
            }
            attemptLog.inFlight.remove(id);
            long from = System.nanoTime();
            for (byte[] part : parts(verdict, verdict(verdict, "v".repeat(paddingChars) + name + ":" + id))) {
                if (verdict.equals("SPLIT")) {
                    splitPermits.acquire();
                }
                socket.getOutputStream().write(part);
                if (System.nanoTime() - from > COPY_BY) {
                    attemptLog.delayedCopies.add(name + ":" + id);
                }
                Thread.sleep(1);
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        } finally {
            attemptLog.inFlight.remove(id);
        }
    }

    private synchronized List<byte[]> parts(String instead, TestWireClient.DatabaseReply verdict) {
        byte[][] spoilt = wire.malformedReplies(verdict);
        if (instead.equals("MALFORMED") && answers++ % 3 == 2) {
            return List.of(spoilt[answers / 3 % spoilt.length]);
        }
        byte[] whole = wire.encodeReply(verdict, false);
        if (instead.equals("SPLIT")) {
            int half = whole.length / 2;
            return List.of(Arrays.copyOf(whole, half), Arrays.copyOfRange(whole, half, whole.length));
        }
        if (!instead.equals("DUPLICATE")) {
            return List.of(whole);
        }
        byte[] both = Arrays.copyOf(whole, 2 * whole.length);
        System.arraycopy(whole, 0, both, whole.length, whole.length);
        return answers++ % 2 == 0 ? List.of(both) : List.of(whole, whole);
    }

    /** One that turns reads away is behind, and says so. */
    private TestWireClient.DatabaseReply verdict(String answer, String value) {
        long behind = replyKind.equals("STALE") ? 10_000 : 0;
        long position = System.currentTimeMillis() - behind;
        return switch (answer) {
            case "INVALID_REPORT" -> new TestWireClient.DatabaseReply("VALUE", value, mode, position, "x0=9e99,x1=\1");
            case "DUPLICATE", "MALFORMED", "SPLIT" -> new TestWireClient.DatabaseReply("VALUE", value, mode, position);
            default -> new TestWireClient.DatabaseReply(answer, value, mode, position);
        };
    }

    /** Waits; false if the proxy ends the connection meanwhile. */
    private static boolean stays(Socket socket, DataInputStream in, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }
}
