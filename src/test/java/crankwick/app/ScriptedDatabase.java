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
    record Seen(String server, String id, String statement, long at) {}

    /** What all the databases of a test have seen; the rules are read off it. */
    static final class Ledger {
        final List<Seen> seen = new CopyOnWriteArrayList<>();
        final List<String> broken = new CopyOnWriteArrayList<>();
        /** Values whose copy the machine held up past the time within which a copy must come to light. */
        final Set<String> lateCopies = ConcurrentHashMap.newKeySet();

        private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

        long sent(String id) {
            return seen.stream().filter(s -> s.id().equals(id)).count();
        }

        List<Seen> at(String server) {
            return seen.stream().filter(s -> s.server().equals(server)).toList();
        }
    }

    /** A proxy rests a connection for 10 ms after an answer; a copy that left by then must not be taken. */
    private static final long COPY_BY = TimeUnit.MILLISECONDS.toNanos(8);

    final String name;
    volatile String mode;
    /**
     * VALUE, MISS, FULL, ERROR, SILENT (no answer at all), BREAK (the connection ends instead), SPOILT (every
     * third, one way after the other), TWICE (the value, right behind it a copy, every second time with the
     * same write), HALVES (the value in two parts, each once {@link #halves} lets it go) or NO REPORT (unreadable).
     */
    volatile String word = "VALUE";

    final Semaphore halves = new Semaphore(0);
    private int answers;
    volatile int delayMs;
    /** A value has so many characters before it. */
    volatile int padding;

    /** A new connection is greeted after so long. */
    volatile int greetMs;
    /** A new connection is greeted once this is open; how many were. */
    volatile CountDownLatch greeting = new CountDownLatch(0);

    final AtomicInteger greeted = new AtomicInteger();
    /** Every fifth new connection is reset, and what had been answered on is reset by the next statement. */
    volatile boolean resets;

    private int accepted;
    /** Connections that ever came up. */
    final AtomicInteger opened = new AtomicInteger();
    /** Connections idle for so long are ended, as databases do. */
    volatile int idleMs;

    private final TestWireClient wire;
    private final Ledger ledger;

    ScriptedDatabase(String name, String mode, TestWireClient wire, Ledger ledger) throws IOException {
        this.name = name;
        this.mode = mode;
        this.wire = wire;
        this.ledger = ledger;
        start();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        if (resets && accepted++ % 5 == 4) {
            socket.setSoLinger(true, 0);
            return;
        }
        opened.incrementAndGet();
        Thread.sleep(greetMs);
        greeting.await();
        wire.greet(socket, in);
        greeted.incrementAndGet();
        for (int asked = 0; ; asked++) {
            socket.setSoTimeout(idleMs);
            String statement = wire.statement(in);
            if (statement == null) {
                return;
            }
            if (resets && asked > 0) {
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
        if (!word.equals("SILENT")) {
            socket.getOutputStream().write(wire.reply(verdict("VALUE", ""), true));
        }
        return true;
    }

    private boolean answer(Socket socket, DataInputStream in, String statement) throws IOException {
        long at = System.nanoTime();
        String id = statement.replaceAll("(?s).*?id=([^, ]*).*", "$1");
        ledger.seen.add(new Seen(name, id, statement, at));
        if (!ledger.inFlight.add(id)) {
            ledger.broken.add("two attempts of " + id + " in flight");
        }
        try {
            String verdict = word;
            int wait = verdict.equals("SILENT") ? 60_000 : delayMs;
            if (wait > 0 && !stays(socket, in, wait) || verdict.equals("BREAK")) {
                return false;
            }
            ledger.inFlight.remove(id);
            long from = System.nanoTime();
            for (byte[] part : parts(verdict, verdict(verdict, "v".repeat(padding) + name + ":" + id))) {
                if (verdict.equals("HALVES")) {
                    halves.acquire();
                }
                socket.getOutputStream().write(part);
                if (System.nanoTime() - from > COPY_BY) {
                    ledger.lateCopies.add(name + ":" + id);
                }
                Thread.sleep(1);
            }
            return true;
        } catch (InterruptedException e) {
            return false;
        } finally {
            ledger.inFlight.remove(id);
        }
    }

    private synchronized List<byte[]> parts(String instead, TestWireClient.Verdict verdict) {
        byte[][] spoilt = wire.spoilt(verdict);
        if (instead.equals("SPOILT") && answers++ % 3 == 2) {
            return List.of(spoilt[answers / 3 % spoilt.length]);
        }
        byte[] whole = wire.reply(verdict, false);
        if (instead.equals("HALVES")) {
            int half = whole.length / 2;
            return List.of(Arrays.copyOf(whole, half), Arrays.copyOfRange(whole, half, whole.length));
        }
        if (!instead.equals("TWICE")) {
            return List.of(whole);
        }
        byte[] both = Arrays.copyOf(whole, 2 * whole.length);
        System.arraycopy(whole, 0, both, whole.length, whole.length);
        return answers++ % 2 == 0 ? List.of(both) : List.of(whole, whole);
    }

    /** One that turns reads away is behind, and says so. */
    private TestWireClient.Verdict verdict(String answer, String value) {
        long behind = word.equals("MISS") ? 10_000 : 0;
        long position = System.currentTimeMillis() - behind;
        return switch (answer) {
            case "NO REPORT" -> new TestWireClient.Verdict("VALUE", value, mode, position, "x0=9e99,x1=\1");
            case "TWICE", "SPOILT", "HALVES" -> new TestWireClient.Verdict("VALUE", value, mode, position);
            default -> new TestWireClient.Verdict(answer, value, mode, position);
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
