package crankwick.app;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client of the soak test. Sends small and large requests, singly and pipelined, and either awaits the answers or
 * closes, resets or half-closes the connection or cancels. Uses open connections until the proxy is killed.
 */
final class SoakClient implements Runnable {
    private static final int[] PADDING_CHARS = {0, 0, 0, 2_000, 40_000, 80_000};
    private static final int DEADLINE_RANGE_MILLIS = 2_500;
    private static final double ABANDON_PROBABILITY = 0.3;
    private static final double BURST_PROBABILITY = 0.05;
    private static final int BURST_SIZE = 1_100;
    private static final int MAX_PAUSE_MILLIS = 60;

    private final Deployment deployment;
    private final SoakRecord record;
    private final AtomicInteger ids;
    private final Random random;
    /** Set once no new connections are to be opened; open ones stay in use. */
    private volatile boolean stopsConnecting;

    private volatile boolean stopped;

    SoakClient(Deployment deployment, SoakRecord record, AtomicInteger ids, long seed) {
        this.deployment = deployment;
        this.record = record;
        this.ids = ids;
        random = new Random(seed);
    }

    void stopConnecting() {
        stopsConnecting = true;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopsConnecting && !stopped) {
            try (Deployment.Client client = deployment.client()) {
                sendUntilClosed(client);
            } catch (IOException e) {
                // Rejected, or the connection has ended: its outstanding requests are in the record.
                pause();
            }
        }
    }

    private void sendUntilClosed(Deployment.Client client) throws IOException {
        boolean open = true;
        while (open && !stopped) {
            List<SoakRecord.Request> requests = new ArrayList<>();
            try {
                open = sendAndAwaitAnswers(client, requests);
            } finally {
                long now = System.nanoTime();
                requests.stream().filter(r -> r.answeredAt == 0).forEach(r -> r.closedAt = now);
            }
            pause();
        }
    }

    /** Returns false once the connection has ended. */
    private boolean sendAndAwaitAnswers(Deployment.Client client, List<SoakRecord.Request> requests)
            throws IOException {
        int count = 1 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            requests.add(sendRequest(client, requests.isEmpty() ? null : requests.get(requests.size() - 1)));
        }
        boolean burst = random.nextDouble() < BURST_PROBABILITY;
        for (int i = 0; burst && i < BURST_SIZE; i++) {
            client.send("SELECT 1");
        }
        if (random.nextDouble() < ABANDON_PROBABILITY) {
            sleep(random.nextInt(400));
            try {
                abandon(client);
            } finally {
                // Also if the proxy has closed already: a client that does not read can't know its answers.
                long now = System.nanoTime();
                requests.forEach(request -> request.abandonedAt = now);
            }
            closeLater(client);
            return false;
        }
        for (SoakRecord.Request request : requests) {
            TestWireClient.Answer answer = client.readAnswer();
            if (answer.kind().equals("CLOSED")) {
                return false;
            }
            record.recordAnswer(request, answer);
        }
        for (int i = 0; burst && i < BURST_SIZE; i++) {
            client.readAnswer();
        }
        return true;
    }

    private SoakRecord.Request sendRequest(Deployment.Client client, SoakRecord.Request previous) throws IOException {
        String id = Integer.toString(ids.incrementAndGet());
        boolean write = random.nextBoolean();
        int deadlineMillis = 200 + random.nextInt(DEADLINE_RANGE_MILLIS);
        String statement = "/* id=" + id + ",c=" + (write ? "reserve" : "map-view") + ",d=" + deadlineMillis
                + (write ? ",k=soak" + id : "") + ",cluster=0 */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'"
                + "x".repeat(PADDING_CHARS[random.nextInt(PADDING_CHARS.length)]);
        client.send(statement);
        SoakRecord.Request request = new SoakRecord.Request(id, System.nanoTime(), deadlineMillis, previous);
        record.requests.put(id, request);
        return request;
    }

    private void abandon(Deployment.Client client) throws IOException {
        int method = random.nextInt(4);
        if (method == 0 && deployment.wire instanceof TdsTestClient tds) {
            tds.sendAttention(client.socket);
        } else if (method == 1) {
            client.socket.shutdownOutput();
        } else {
            client.socket.setSoLinger(method == 2, 0);
            client.close();
        }
    }

    /** Keeps the connection open for up to 1 s after a cancellation or half-close. */
    private void closeLater(Deployment.Client client) throws IOException {
        if (!client.socket.isClosed()) {
            sleep(random.nextInt(1_000));
        }
        client.close();
    }

    private void pause() {
        sleep(random.nextInt(MAX_PAUSE_MILLIS));
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
