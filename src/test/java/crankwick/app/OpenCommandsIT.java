package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Limits on open commands and unread replies: excess commands are rejected, none is lost, and memory suffices. */
public class OpenCommandsIT extends BothWiresFixture {
    private static final int VALUE_BYTES = 60_000;
    private static final int READS = 300;
    private static final int READS_PER_BURST = 15;
    private static final int EMPTY_QUERIES = 300_000;
    private static final int WRITERS = 160;
    private static final int WRITES_AT_ONCE = 6;
    private static final int WRITE_DEADLINE_MILLIS = 5_000;
    private static final int READS_AT_ONCE = 8;
    private static final int READ_DEADLINE_MILLIS = 1_000;
    private static final int SMALL_RECEIVE_BUFFER = 16 * 1_024;

    /** Guards against buffering all replies of a client that reads them slowly: 18 MB here. */
    @Test
    public void readsWhoseRepliesExceedTheBudgetAreRejected() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient())) {
            d.receiveBufferBytes = SMALL_RECEIVE_BUFFER;
            Deployment.Client client = d.client();
            d.databases.forEach(database -> database.paddingChars = VALUE_BYTES);
            for (int i = 0; i < READS; i++) {
                client.send(statement("map-view", 10_000, ""));
                Thread.sleep(i % READS_PER_BURST == 0 ? 100 : 0);
            }
            int first = Integer.parseInt(lastId()) - READS + 1;
            int served = 0;
            for (int i = 0; i < READS; i++) {
                TestWireClient.Answer answer = client.readAnswer();
                boolean value = answer.kind().equals("SERVED") && answer.value().endsWith(":" + (first + i));
                assertTrue(value || answer.kind().equals("REFUSED"), "answer " + i + ": " + answer.kind());
                served += value ? 1 : 0;
            }
            assertTrue(served > READS / 4 && served < READS, "served " + served);
            assertEquals(client.execute(statement("map-view", 10_000, "")).kind(), "SERVED");
            client.close();
            assertNoViolations(d);
            assertTrue(d.terminate().contains("open_bytes=0 answer_bytes=0"), d.log.toString());
        }
    }

    /** Guards against writing replies faster than the client reads them, which would take over 100 MB here. */
    @Test
    public void repliesQueuedBehindAnOpenCommandStayWithinMemory() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient())) {
            d.receiveBufferBytes = SMALL_RECEIVE_BUFFER;
            Deployment.Client client = d.client();
            d.primary().replyKind = "NO_REPLY";
            client.send(statement("reserve", 2_000, ""));
            while (d.attemptLog.attempts.isEmpty()) {
                Thread.sleep(1);
            }
            byte[] empty = d.wire.encodeCommand("", 0);
            String many = new String(empty, StandardCharsets.ISO_8859_1).repeat(EMPTY_QUERIES);
            client.socket.getOutputStream().write(many.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(client.readAnswer().kind(), "FAILED");
            Thread.sleep(1_000);
            for (int i = 0; i < EMPTY_QUERIES; i++) {
                String kind = client.readAnswer().kind();
                assertTrue(kind.matches("EMPTY|REFUSED"), i + ": " + kind);
            }
            client.close();
            assertNoViolations(d);
            assertTrue(d.log.stream().noneMatch(line -> line.contains("OutOfMemoryError")), d.log.toString());
            assertTrue(d.terminate().contains("open_bytes=0 answer_bytes=0"), d.log.toString());
        }
    }

    /** Guards against a client's pipelined requests that wait for the requests of all others. */
    @Test(dataProvider = "wires")
    public void pipelinedReadsDoNotWaitForRequestsOfOtherClients(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire)) {
            d.primary().replyKind = "NO_REPLY";
            List<Deployment.Client> writers = new ArrayList<>();
            for (int i = 0; i < WRITERS; i++) {
                writers.add(d.client());
                for (int write = 0; write < WRITES_AT_ONCE; write++) {
                    writers.get(i).send(statement("reserve", WRITE_DEADLINE_MILLIS, ""));
                }
            }
            try (Deployment.Client reader = d.client()) {
                for (int read = 0; read < READS_AT_ONCE; read++) {
                    reader.send(statement("map-view", READ_DEADLINE_MILLIS, ""));
                }
                for (int read = 0; read < READS_AT_ONCE; read++) {
                    long fromNanos = System.nanoTime();
                    TestWireClient.Answer answer = reader.readAnswer();
                    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fromNanos);
                    assertTrue(
                            millis <= READ_DEADLINE_MILLIS + PacedClient.LOST_AFTER_MILLIS,
                            answer + " to read " + read + " after " + millis + " ms");
                }
            }
            for (Deployment.Client writer : writers) {
                writer.close();
            }
            assertNoViolations(d);
        }
    }
}
