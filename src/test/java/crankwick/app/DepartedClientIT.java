package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Clients that close their connection with much of what they sent still unread. */
public class DepartedClientIT extends BothWiresFixture {
    private static final int CORE = 1;
    private static final int STATEMENTS_BEFORE = 5_000;
    private static final int STATEMENTS_BEHIND = 30_000;
    private static final int READS = 200;
    private static final int DEPARTURES = 4;
    /** No attempt may begin later than this after its client closed (the operators' rule). */
    private static final long MAX_SEND_AFTER_CLOSE_MILLIS = 100;
    /** The time from an attempt's first byte to the database's record of it, on a busy machine. */
    private static final long RECORDING_MILLIS = 100;

    /** When a client closed, and the ids of the reads that it had sent. */
    private record Departure(long closedAt, int firstId, int lastId) {}

    /** Guards against sending requests to databases after their client has closed, while its close is still unread. */
    @Test(dataProvider = "wires")
    public void requestsAreNotSentAfterTheirClientHasLeft(TestWireClient wire) throws Exception {
        try (Deployment d = Deployment.onOneCore(wire, CORE, Deployment.DEFAULT_SOCKETS);
                FullSpeedSender sender = new FullSpeedSender(d, FullSpeedSender.Kind.EMPTY_STATEMENTS);
                FullSpeedSender other = new FullSpeedSender(d, FullSpeedSender.Kind.READS_UNDER_NEW_NAMES)) {
            List<Departure> departures = new ArrayList<>();
            for (int i = 0; i < DEPARTURES; i++) {
                departures.add(sendAndLeave(d));
                Thread.sleep(400);
            }
            sender.close();
            other.close();
            Thread.sleep(1_000);
            int attempts = 0;
            for (ScriptedDatabase.Attempt attempt : d.attemptLog.attempts) {
                Departure departure = find(departures, Long.parseLong(attempt.id()));
                attempts += departure == null ? 0 : 1;
                long millis = departure == null
                        ? 0
                        : TimeUnit.NANOSECONDS.toMillis(attempt.receivedAt() - departure.closedAt());
                assertTrue(
                        millis <= MAX_SEND_AFTER_CLOSE_MILLIS + RECORDING_MILLIS,
                        "request " + attempt.id() + " was sent " + millis + " ms after its client had left");
            }
            System.out.println(wire.getClass().getSimpleName() + ": " + attempts + " attempts for departed clients");
            try (Deployment.Client client = d.client()) {
                assertEquals(client.execute(statement("map-view", 1_000, "")).kind(), "SERVED");
            }
            assertEquals(d.errorLines(), List.of());
        }
    }

    private Departure sendAndLeave(Deployment d) throws IOException, InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String empty = new String(d.wire.encodeCommand("", 0), StandardCharsets.ISO_8859_1);
        out.writeBytes(empty.repeat(STATEMENTS_BEFORE).getBytes(StandardCharsets.ISO_8859_1));
        int firstId = Integer.parseInt(lastId()) + 1;
        for (int i = 0; i < READS; i++) {
            out.writeBytes(d.wire.encodeCommand(statement("map-view", 5_000, ""), 0));
        }
        out.writeBytes(empty.repeat(STATEMENTS_BEHIND).getBytes(StandardCharsets.ISO_8859_1));
        // Read to the end, so that the close is no reset, which would discard what the proxy has not read yet.
        try (Deployment.Client client = d.client()) {
            Thread reader = new Thread(() -> FullSpeedSender.readToEnd(client.socket));
            reader.start();
            client.socket.getOutputStream().write(out.toByteArray());
            client.socket.shutdownOutput();
            long closedAt = System.nanoTime();
            reader.join(TimeUnit.SECONDS.toMillis(2));
            return new Departure(closedAt, firstId, Integer.parseInt(lastId()));
        }
    }

    private static Departure find(List<Departure> departures, long id) {
        return departures.stream()
                .filter(departure -> departure.firstId() <= id && id <= departure.lastId())
                .findAny()
                .orElse(null);
    }
}
