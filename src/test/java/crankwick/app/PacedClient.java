package crankwick.app;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client that sends one read, or several at once, with a pause after their answers, and measures when the answers
 * arrive. The time of a read that is sent behind others counts from the answer before it.
 */
final class PacedClient implements AutoCloseable {
    private static final int DEADLINE_MILLIS = 235;
    private static final int PAUSE_MILLIS = 20;
    /** Up to this long after its due time an answer is not lost (the operators' rule). */
    static final int LOST_AFTER_MILLIS = 500;
    /** Up to this long after its due time an answer is in time: the settings' slack, and that of sockets. */
    static final int IN_TIME_MILLIS = 70;

    private final Deployment deployment;
    private final String padding;
    private final int readsAtOnce;
    private final AtomicInteger ids;
    private final Thread thread = new Thread(this::run, "paced client");
    private volatile boolean stopped;
    volatile int answers;
    volatile int served;
    volatile int late;
    volatile int lost;
    volatile long maxMillis;
    /** The ids of requests that were answered late, and when and how they were answered. */
    private final Map<Integer, String> lateAnswers = new ConcurrentHashMap<>();

    PacedClient(Deployment deployment, AtomicInteger ids) {
        this(deployment, ids, 0);
    }

    /** Creates a client whose statements are longer by {@code paddingChars}. */
    PacedClient(Deployment deployment, AtomicInteger ids, int paddingChars) {
        this(deployment, ids, paddingChars, 1);
    }

    private PacedClient(Deployment deployment, AtomicInteger ids, int paddingChars, int readsAtOnce) {
        padding = "x".repeat(paddingChars);
        this.deployment = deployment;
        this.ids = ids;
        this.readsAtOnce = readsAtOnce;
        thread.start();
    }

    /** Creates a client that sends several reads at once. */
    static PacedClient pipelining(Deployment deployment, AtomicInteger ids, int readsAtOnce) {
        return new PacedClient(deployment, ids, 0, readsAtOnce);
    }

    private void run() {
        Deployment.Client client = null;
        while (!stopped) {
            try {
                client = client == null ? deployment.client() : client;
                client = sendReads(client) ? client : null;
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException e) {
                lost++;
                client = null;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns false if the proxy has closed the connection, which it may do between requests. */
    private boolean sendReads(Deployment.Client client) throws IOException {
        int firstId = ids.getAndAdd(readsAtOnce);
        client.socket.setSoTimeout(DEADLINE_MILLIS + 10 * LOST_AFTER_MILLIS);
        long fromNanos = System.nanoTime();
        ByteArrayOutputStream reads = new ByteArrayOutputStream();
        for (int id = firstId; id < firstId + readsAtOnce; id++) {
            reads.writeBytes(deployment.wire.encodeCommand(read(id), 0));
        }
        client.socket.getOutputStream().write(reads.toByteArray());
        boolean open = true;
        for (int id = firstId; open && id < firstId + readsAtOnce; id++) {
            TestWireClient.Answer answer = client.readAnswer();
            long answeredNanos = System.nanoTime();
            open = record(id, answer, TimeUnit.NANOSECONDS.toMillis(answeredNanos - fromNanos));
            fromNanos = answeredNanos;
        }
        return open;
    }

    private String read(int id) {
        return "/* id=" + id + ",c=map-view,d=" + DEADLINE_MILLIS
                + ",cluster=0 */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'" + padding;
    }

    private boolean record(int id, TestWireClient.Answer answer, long millis) {
        answers++;
        served += answer.kind().equals("SERVED") ? 1 : 0;
        if (millis > DEADLINE_MILLIS + IN_TIME_MILLIS) {
            lateAnswers.put(id, answer + " after " + millis + " ms");
        }
        late += millis > DEADLINE_MILLIS + IN_TIME_MILLIS ? 1 : 0;
        lost += millis > DEADLINE_MILLIS + LOST_AFTER_MILLIS || answer.kind().equals("CLOSED") ? 1 : 0;
        maxMillis = Math.max(maxMillis, millis);
        return !answer.kind().equals("CLOSED");
    }

    /** The late answers, each with the program's log line on its request, if there is one. */
    List<String> trace() {
        return lateAnswers.entrySet().stream()
                .map(late -> late + " "
                        + deployment.log.stream()
                                .filter(line -> line.contains(" id=" + late.getKey() + " "))
                                .toList())
                .toList();
    }

    @Override
    public String toString() {
        return answers + " answers, " + served + " served, " + late + " late, " + lost + " lost, slowest " + maxMillis
                + " ms";
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
