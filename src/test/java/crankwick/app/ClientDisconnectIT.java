package crankwick.app;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Clients that disconnect or cancel during a request, with different commands pipelined behind it: no attempt starts
 * afterwards. The program runs as a process. The databases close the connection during each attempt, so that the proxy
 * would otherwise retry it.
 */
public class ClientDisconnectIT extends BothWiresFixture {
    private static final int LARGE_PADDING_CHARS = 80_000;
    private static final int MEDIUM_PADDING_CHARS = 40_000;
    private static final int MANY_COMMANDS = 1_100;
    private static final int ATTEMPT_DURATION_MILLIS = 300;
    private static final int DISCONNECT_DELAY_MILLIS = 100;
    private static final long ATTEMPT_ARRIVAL_TIMEOUT_MILLIS = 2_000;
    private static final int OBSERVATION_MILLIS = 800;

    /** What a client has sent before it disconnects: first one keyed write, then the commands named here. */
    private enum SentCommands {
        SMALL_WRITE,
        LARGE_WRITE,
        MANY_COMMANDS_BEHIND,
        MEDIUM_COMMANDS_BEHIND
    }

    /** How a client ends its request. */
    private enum DisconnectMode {
        CLOSE,
        RESET,
        CANCEL
    }

    /** All combinations of protocol, sent commands and disconnect mode; the PostgreSQL protocol has no cancel here. */
    @DataProvider
    public Object[][] disconnects() {
        List<Object[]> all = new ArrayList<>();
        for (Object[] wire : wires()) {
            for (SentCommands sent : SentCommands.values()) {
                for (DisconnectMode mode : DisconnectMode.values()) {
                    if (mode != DisconnectMode.CANCEL || wire[0] instanceof TdsTestClient) {
                        all.add(new Object[] {wire[0], sent, mode});
                    }
                }
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** Each case has its own deployment: earlier failures count against the databases and would suppress retries. */
    @Test(dataProvider = "disconnects")
    public void requestIsNotRetriedAfterTheClientDisconnects(
            TestWireClient wire, SentCommands sent, DisconnectMode mode) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.databases.forEach(database -> database.delayMillis = ATTEMPT_DURATION_MILLIS);
            d.databases.forEach(database -> database.replyKind = "DISCONNECT");
            String write = send(client, sent);
            Thread.sleep(DISCONNECT_DELAY_MILLIS);
            awaitAttempt(d, write);
            disconnect(wire, client, mode);
            Thread.sleep(OBSERVATION_MILLIS);
            assertEquals(d.attemptLog.countAttempts(write), 1, d.log.toString());
            assertNoViolations(d);
        }
    }

    /** Waits for the first attempt, late on a busy machine: no attempt is sent if the client disconnects earlier. */
    private static void awaitAttempt(Deployment d, String write) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ATTEMPT_ARRIVAL_TIMEOUT_MILLIS);
        while (d.attemptLog.countAttempts(write) == 0 && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
    }

    /** Sends the write and the commands behind it; returns the write's id. */
    private String send(Deployment.Client client, SentCommands sent) throws IOException {
        String padding = sent == SentCommands.LARGE_WRITE ? "x".repeat(LARGE_PADDING_CHARS) : "";
        client.send(statement("reserve", 3_000, "") + padding);
        String write = lastId();
        if (sent == SentCommands.MANY_COMMANDS_BEHIND) {
            for (int i = 0; i < MANY_COMMANDS; i++) {
                client.send("SELECT 1");
            }
        } else if (sent == SentCommands.MEDIUM_COMMANDS_BEHIND) {
            for (int i = 0; i < 3; i++) {
                client.send(statement("map-view", 3_000, "") + "x".repeat(MEDIUM_PADDING_CHARS));
            }
        }
        return write;
    }

    private static void disconnect(TestWireClient wire, Deployment.Client client, DisconnectMode mode)
            throws IOException {
        switch (mode) {
            case CANCEL -> ((TdsTestClient) wire).sendAttention(client.socket);
            case RESET -> {
                client.socket.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    /**
     * Guards against treating a client as stalled while the proxy does not read from it: half of a command follows a
     * large command, and its other half arrives while the large command is still open.
     */
    @Test(dataProvider = "wires")
    public void partialCommandBehindALargeOneIsNotStalled(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.primary().delayMillis = 2_800;
            client.send(statement("reserve", 5_000, "") + "x".repeat(LARGE_PADDING_CHARS));
            String first = lastId();
            byte[] second = wire.encodeCommand(statement("map-view", 5_000, ""), 0);
            client.socket.getOutputStream().write(second, 0, second.length - 7);
            Thread.sleep(1_000);
            client.socket.getOutputStream().write(second, second.length - 7, 7);
            assertEquals(client.readAnswer().value(), "s-a:" + first);
            TestWireClient.Answer answer = client.readAnswer();
            assertEquals(answer.kind(), "SERVED", answer + " " + d.log);
            assertNoViolations(d);
        }
    }
}
