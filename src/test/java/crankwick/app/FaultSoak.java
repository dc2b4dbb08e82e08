package crankwick.app;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One soak run: the program as a process, three databases and clients on loopback, and faults drawn from the seed.
 * Databases close connections, answer late, with malformed replies or not at all; the process is repeatedly stopped
 * for up to 0.15 s and gets SIGHUP in series; some runs open many idle connections, and in some other clients send at
 * full speed. The run ends with SIGTERM while
 * clients continue to send, and SIGKILL at the earliest time the platform may send it. The seed determines the faults,
 * but not which requests they affect.
 */
final class FaultSoak {
    private static final int CLIENTS = 12;
    private static final int MAX_IDLE_CONNECTIONS = 230;
    private static final int MAX_FULL_SPEED_SENDERS = 4;
    private static final int TRAFFIC_MILLIS = 8_000;
    /** The longest deadline in the settings plus 0.7 s. */
    private static final int KILL_AFTER_MILLIS = 3_700;

    private static final int MAX_STOP_MILLIS = 150;
    private static final String[] REPLY_KINDS = {
        "VALUE", "VALUE", "VALUE", "DISCONNECT", "MALFORMED", "NO_REPLY", "ERROR", "OVERLOADED"
    };

    private final long seed;
    private final Random random;
    private final SoakRecord record = new SoakRecord();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<Socket> idleConnections = new ArrayList<>();
    private final List<FullSpeedSender> senders = new ArrayList<>();

    FaultSoak(long seed) {
        this.seed = seed;
        random = new Random(seed);
    }

    /** The result of a run. */
    record Outcome(
            int requests,
            int attempts,
            int maxLoopDelayMillis,
            List<SoakRecord.Violation> violations,
            List<String> errorLines) {}

    Outcome run() throws IOException, InterruptedException {
        TestWireClient wire = seed % 2 == 0 ? new PgTestClient() : new TdsTestClient();
        try (Deployment d = new Deployment(wire)) {
            record.detectOwnPauses();
            List<SoakClient> clients = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client = new SoakClient(d, record, ids, random.nextLong());
                clients.add(client);
                threads.add(new Thread(client, "client " + i));
            }
            threads.forEach(Thread::start);
            startSenders(d);
            injectFaults(d);
            clients.forEach(SoakClient::stopConnecting);
            senders.forEach(FullSpeedSender::stopConnecting);
            long killedAt = terminateThenKill(d);
            clients.forEach(SoakClient::stop);
            for (FullSpeedSender sender : senders) {
                sender.close();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            for (Socket socket : idleConnections) {
                socket.close();
            }
            List<SoakRecord.Violation> violations = record.findViolations(d.attemptLog.attempts, killedAt);
            violations.forEach(violation -> printTimeline(d, violation));
            return new Outcome(
                    record.requests.size(),
                    d.attemptLog.attempts.size(),
                    maxLoopDelayMillis(d),
                    violations,
                    d.errorLines());
        }
    }

    /** The longest delay of the proxy's event loop that its log reports. */
    private static int maxLoopDelayMillis(Deployment d) {
        return d.log.stream()
                .filter(line -> line.contains("event loop up to "))
                .mapToInt(line -> Integer.parseInt(line.replaceAll(".*event loop up to (\\d+) ms.*", "$1")))
                .max()
                .orElse(0);
    }

    /** Prints a violation, when databases received the request's attempts, and the proxy's log lines on it. */
    private void printTimeline(Deployment d, SoakRecord.Violation violation) {
        System.out.println("seed " + seed + ": " + violation);
        long sentAt = record.requests.get(violation.id()).sentAt;
        for (ScriptedDatabase.Attempt attempt : d.attemptLog.attempts) {
            if (attempt.id().equals(violation.id())) {
                long millis = TimeUnit.NANOSECONDS.toMillis(attempt.receivedAt() - sentAt);
                System.out.println("    " + attempt.server() + " +" + millis + " ms");
            }
        }
        d.log.stream()
                .filter(line -> line.contains(" id=" + violation.id() + " ") || line.contains("event loop up to "))
                .forEach(line -> System.out.println("    " + line));
    }

    /** In every third run, some clients send messages of one kind at full speed until the proxy is killed. */
    private void startSenders(Deployment d) {
        Random senderRandom = new Random(-seed);
        FullSpeedSender.Kind[] kinds = FullSpeedSender.Kind.values();
        FullSpeedSender.Kind kind = kinds[senderRandom.nextInt(kinds.length)];
        int count = seed % 3 == 2 ? 1 + senderRandom.nextInt(MAX_FULL_SPEED_SENDERS) : 0;
        for (int i = 0; i < count; i++) {
            senders.add(new FullSpeedSender(d, kind));
        }
        if (count > 0) {
            System.out.println("seed " + seed + ": " + count + " senders of " + kind);
        }
    }

    private void injectFaults(Deployment d) throws IOException, InterruptedException {
        boolean opensIdleConnections = seed % 4 == 3;
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TRAFFIC_MILLIS);
        while (System.nanoTime() < until) {
            ScriptedDatabase database = d.databases.get(random.nextInt(d.databases.size()));
            database.replyKind = REPLY_KINDS[random.nextInt(REPLY_KINDS.length)];
            database.delayMillis = random.nextInt(400);
            database.greetingDelayMillis = random.nextInt(4) == 0 ? random.nextInt(700) : 0;
            database.resetsConnections = random.nextInt(4) == 0;
            if (random.nextInt(3) == 0) {
                stopFor(d, 20 + random.nextInt(MAX_STOP_MILLIS - 20));
            }
            for (int i = random.nextInt(8) == 0 ? 3 : 0; i > 0; i--) {
                signal(d, "HUP");
                Thread.sleep(random.nextInt(30));
            }
            if (opensIdleConnections) {
                openIdleConnections(d);
            }
            Thread.sleep(random.nextInt(300));
        }
    }

    private void openIdleConnections(Deployment d) throws IOException {
        idleConnections.removeIf(Socket::isClosed);
        for (int i = 0; i < MAX_IDLE_CONNECTIONS / 10 && idleConnections.size() < MAX_IDLE_CONNECTIONS; i++) {
            idleConnections.add(d.connect());
        }
    }

    private void stopFor(Deployment d, int millis) throws IOException, InterruptedException {
        long from = System.nanoTime();
        signal(d, "STOP");
        Thread.sleep(millis);
        signal(d, "CONT");
        record.recordPause(from, System.nanoTime());
    }

    private static void signal(Deployment d, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(d.process.pid()))
                .start()
                .waitFor();
    }

    /** Sends SIGTERM with the faults still in effect, then SIGKILL when allowed; returns the time of the latter. */
    private long terminateThenKill(Deployment d) throws IOException, InterruptedException {
        if (!d.process.isAlive()) {
            throw new IOException("the program ended before SIGTERM: " + d.log);
        }
        record.recordSigterm();
        signal(d, "TERM");
        d.process.waitFor(KILL_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        long killedAt = System.nanoTime();
        d.process.destroyForcibly().waitFor();
        return killedAt;
    }
}
