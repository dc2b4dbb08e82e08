package crankwick.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client of the soak: asks small and large requests, alone and several at once, and waits for the answers,
 * closes, resets, cancels or half-closes. Goes on with open connections until the proxy is killed.
 */
final class SoakClient implements Runnable {
    private static final int[] SIZES = {0, 0, 0, 2_000, 40_000, 80_000};
    private static final int MAX_WAIT_MS = 2_500;
    private static final double LEAVES = 0.3;
    private static final double SENDS_MANY = 0.05;
    private static final int MANY = 1_100;
    private static final int MAX_PAUSE_MS = 60;

    private final Deployment deployment;
    private final SoakRecord record;
    private final AtomicInteger ids;
    private final Random random;
    /** No new connection is made any more, open ones are used on. */
    private volatile boolean ending;

    private volatile boolean killed;

    SoakClient(Deployment deployment, SoakRecord record, AtomicInteger ids, long seed) {
        this.deployment = deployment;
        this.record = record;
        this.ids = ids;
        random = new Random(seed);
    }

    void end() {
        ending = true;
    }

    void killed() {
        killed = true;
    }

    @Override
    public void run() {
        while (!ending && !killed) {
            try (Deployment.Client client = deployment.client()) {
                useWhileOpen(client);
            } catch (IOException e) {
                // Turned away, or the connection has ended: what was open then is in the record.
                pause();
            }
        }
    }

    private void useWhileOpen(Deployment.Client client) throws IOException {
        boolean open = true;
        while (open && !killed) {
            List<SoakRecord.Request> asked = new ArrayList<>();
            try {
                open = askAndWait(client, asked);
            } finally {
                long now = System.nanoTime();
                asked.stream().filter(r -> r.answeredAt == 0).forEach(r -> r.closedAt = now);
            }
            pause();
        }
    }

    /** False once the connection is over. */
    private boolean askAndWait(Deployment.Client client, List<SoakRecord.Request> asked) throws IOException {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            asked.add(ask(client, asked.isEmpty() ? null : asked.get(asked.size() - 1)));
        }
        boolean many = random.nextDouble() < SENDS_MANY;
        for (int i = 0; many && i < MANY; i++) {
            client.send("SELECT 1");
        }
        if (random.nextDouble() < LEAVES) {
            sleep(random.nextInt(400));
            try {
                leave(client);
            } finally {
                // Also where the proxy has closed before: who does not read can't tell what it was answered.
                long now = System.nanoTime();
                asked.forEach(request -> request.goneAt = now);
            }
            stay(client);
            return false;
        }
        for (SoakRecord.Request request : asked) {
            TestWireClient.Answer answer = client.readAnswer();
            if (answer.kind().equals("CLOSED")) {
                return false;
            }
            record.answered(request, answer);
        }
        for (int i = 0; many && i < MANY; i++) {
            client.readAnswer();
        }
        return true;
    }

    private SoakRecord.Request ask(Deployment.Client client, SoakRecord.Request before) throws IOException {
        String id = Integer.toString(ids.incrementAndGet());
        boolean write = random.nextBoolean();
        int wait = 200 + random.nextInt(MAX_WAIT_MS);
        String statement = "/* id=" + id + ",c=" + (write ? "reserve" : "map-view") + ",d=" + wait
                + (write ? ",k=soak" + id : "") + ",cluster=0 */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'"
                + "x".repeat(SIZES[random.nextInt(SIZES.length)]);
        client.send(statement);
        SoakRecord.Request request = new SoakRecord.Request(id, System.nanoTime(), wait, before);
        record.requests.put(id, request);
        return request;
    }

    private void leave(Deployment.Client client) throws IOException {
        int way = random.nextInt(4);
        if (way == 0 && deployment.wire instanceof TdsTestClient tds) {
            tds.sendAttention(client.socket);
        } else if (way == 1) {
            client.socket.shutdownOutput();
        } else {
            client.socket.setSoLinger(way == 2, 0);
            client.close();
        }
    }

    /** Who has cancelled, or only ended its sending, keeps its connection for a while. */
    private void stay(Deployment.Client client) throws IOException {
        if (!client.socket.isClosed()) {
            sleep(random.nextInt(1_000));
        }
        client.close();
    }

    private void pause() {
        sleep(random.nextInt(MAX_PAUSE_MS));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
