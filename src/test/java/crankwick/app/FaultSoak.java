package crankwick.app;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One seeded run: the program as a process, three databases and clients on loopback, and faults drawn by the seed.
 * Databases break connections, answer late, spoilt or not at all; the process is stopped for up to 0.15 s, over and
 * over, and gets SIGHUP in series; some runs have a crowd of idle connections. At the end SIGTERM, clients that go on
 * sending, and SIGKILL at the platform's earliest. The faults are the seed's; which request meets them is not.
 */
final class FaultSoak {
    private static final int CLIENTS = 12;
    private static final int CROWD = 230;
    private static final int TRAFFIC_MS = 8_000;
    /** The longest deadline of the settings and 0.7 s. */
    private static final int KILL_AFTER_MS = 3_700;

    private static final int MAX_STOP_MS = 150;
    private static final String[] WORDS = {
        "VALUE", "VALUE", "VALUE", "DISCONNECT", "MALFORMED", "NO_REPLY", "ERROR", "OVERLOADED"
    };

    private final long seed;
    private final Random random;
    private final SoakRecord record = new SoakRecord();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<Socket> crowd = new ArrayList<>();

    FaultSoak(long seed) {
        this.seed = seed;
        random = new Random(seed);
    }

    /** What a run came to. */
    record Outcome(int requests, int attempts, int worstLateMs, List<SoakRecord.Break> breaks, List<String> errors) {}

    Outcome run() throws IOException, InterruptedException {
        TestWireClient wire = seed % 2 == 0 ? new PgTestClient() : new TdsTestClient();
        try (Deployment d = new Deployment(wire)) {
            record.watchOwnPauses();
            List<SoakClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client = new SoakClient(d, record, ids, random.nextLong());
                clients.add(client);
                threads.add(new Thread(client, "client " + i));
            }
            threads.forEach(Thread::start);
            playFaults(d);
            clients.forEach(SoakClient::end);
            long killedAt = terminateThenKill(d);
            clients.forEach(SoakClient::killed);
            for (Thread thread : threads) {
                thread.join();
            }
            for (Socket socket : crowd) {
                socket.close();
            }
            List<SoakRecord.Break> breaks = record.judge(d.attemptLog.attempts, killedAt);
            breaks.forEach(broken -> printTimeLine(d, broken));
            return new Outcome(
                    record.requests.size(), d.attemptLog.attempts.size(), worstLateMs(d), breaks, d.errorLines());
        }
    }

    /** How late the proxy's loop was at worst, by its own word. */
    private static int worstLateMs(Deployment d) {
        return d.log.stream()
                .filter(line -> line.contains("event loop up to "))
                .mapToInt(line -> Integer.parseInt(line.replaceAll(".*event loop up to (\\d+) ms.*", "$1")))
                .max()
                .orElse(0);
    }

    /** What is known of a request that broke a rule: when databases were sent it, and the proxy's own word. */
    private void printTimeLine(Deployment d, SoakRecord.Break broken) {
        System.out.println("seed " + seed + ": " + broken);
        long asked = record.requests.get(broken.id()).askedAt;
        for (ScriptedDatabase.Attempt seen : d.attemptLog.attempts) {
            if (seen.id().equals(broken.id())) {
                long millis = TimeUnit.NANOSECONDS.toMillis(seen.receivedAt() - asked);
                System.out.println("    " + seen.server() + " +" + millis + " ms");
            }
        }
        d.log.stream()
                .filter(line -> line.contains(" id=" + broken.id() + " ") || line.contains("late,"))
                .forEach(line -> System.out.println("    " + line));
    }

    private void playFaults(Deployment d) throws IOException, InterruptedException {
        boolean crowded = seed % 4 == 3;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRAFFIC_MS);
        while (System.nanoTime() < until) {
            ScriptedDatabase database = d.databases.get(random.nextInt(d.databases.size()));
            database.replyKind = WORDS[random.nextInt(WORDS.length)];
            database.delayMs = random.nextInt(400);
            database.greetingDelayMs = random.nextInt(4) == 0 ? random.nextInt(700) : 0;
            database.resetsConnections = random.nextInt(4) == 0;
            if (random.nextInt(3) == 0) {
                stopFor(d, 20 + random.nextInt(MAX_STOP_MS - 20));
            }
            for (int i = random.nextInt(8) == 0 ? 3 : 0; i > 0; i--) {
                signal(d, "HUP");
                Thread.sleep(random.nextInt(30));
            }
            if (crowded) {
                gather(d);
            }
            Thread.sleep(random.nextInt(300));
        }
    }

    private void gather(Deployment d) throws IOException {
        crowd.removeIf(Socket::isClosed);
        for (int i = 0; i < CROWD / 10 && crowd.size() < CROWD; i++) {
            crowd.add(d.connect());
        }
    }

    private void stopFor(Deployment d, int millis) throws IOException, InterruptedException {
        long from = System.nanoTime();
        signal(d, "STOP");
        Thread.sleep(millis);
        signal(d, "CONT");
        record.stopped(from, System.nanoTime());
    }

    private static void signal(Deployment d, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(d.process.pid()))
                .start()
                .waitFor();
    }

    /** SIGTERM while databases are as they were, SIGKILL as early as it may come; when that was. */
    private long terminateThenKill(Deployment d) throws IOException, InterruptedException {
        if (!d.process.isAlive()) {
            throw new IOException("the program has ended by itself: " + d.log);
        }
        record.terminated();
        signal(d, "TERM");
        d.process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
        long killedAt = System.nanoTime();
        d.process.destroyForcibly().waitFor();
        return killedAt;
    }
}
