package crankwick.app;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Clients that leave in the middle of a request, whatever they have sent before or behind it: no attempt begins
 * once they have gone. The program runs as a process; databases break the connection under each attempt, so that
 * it would be sent again.
 */
public class ClientDisconnectIT extends BothWiresFixture {
    private static final int LARGE = 80_000;
    private static final int MEDIUM = 40_000;
    private static final int MANY = 1_100;
    private static final int ATTEMPT_MS = 300;
    private static final int LEAVES_AFTER_MS = 100;
    private static final long ATTEMPT_ARRIVES_WITHIN_MS = 2_000;
    private static final int WATCHED_MS = 800;

    /** What a client has sent when it leaves: one keyed write first, then what this names. */
    private enum Sent {
        SMALL_WRITE,
        LARGE_WRITE,
        MANY_COMMANDS_BEHIND,
        MEDIUM_COMMANDS_BEHIND
    }

    /** How a client leaves. */
    private enum Way {
        CLOSE,
        RESET,
        CANCEL
    }

    /** Both wires, each with all that can be sent and all ways to leave; PostgreSQL's clients have no cancel. */
    @DataProvider
    public Object[][] leavers() {
        List<Object[]> all = new ArrayList<>();
        for (Object[] wire : wires()) {
            for (Sent sent : Sent.values()) {
                for (Way way : Way.values()) {
                    if (way != Way.CANCEL || wire[0] instanceof TdsTestClient) {
                        all.add(new Object[] {wire[0], sent, way});
                    }
                }
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** A deployment for each, as failures count against a database and would keep others from being sent again. */
    @Test(dataProvider = "leavers")
    public void nothingIsSentAgainForAClientThatHasGone(TestWireClient wire, Sent sent, Way way) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client leaver = d.client()) {
            d.databases.forEach(database -> database.delayMs = ATTEMPT_MS);
            d.databases.forEach(database -> database.replyKind = "DISCONNECT");
            String write = send(leaver, sent);
            Thread.sleep(LEAVES_AFTER_MS);
            awaitAttempt(d, write);
            leave(wire, leaver, way);
            Thread.sleep(WATCHED_MS);
            assertEquals(d.attemptLog.countAttempts(write), 1, d.log.toString());
            assertNoViolations(d);
        }
    }

    /** On a busy machine the attempt may take longer to arrive; a client that left before would have none. */
    private static void awaitAttempt(Deployment d, String write) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ATTEMPT_ARRIVES_WITHIN_MS);
        while (d.attemptLog.countAttempts(write) == 0 && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
    }

    /** Sends the write and what goes with it; the write's id. */
    private String send(Deployment.Client client, Sent sent) throws IOException {
        String padding = sent == Sent.LARGE_WRITE ? "x".repeat(LARGE) : "";
        client.send(statement("reserve", 3_000, "") + padding);
        String write = lastId();
        if (sent == Sent.MANY_COMMANDS_BEHIND) {
            for (int i = 0; i < MANY; i++) {
                client.send("SELECT 1");
            }
        } else if (sent == Sent.MEDIUM_COMMANDS_BEHIND) {
            for (int i = 0; i < 3; i++) {
                client.send(statement("map-view", 3_000, "") + "x".repeat(MEDIUM));
            }
        }
        return write;
    }

    private static void leave(TestWireClient wire, Deployment.Client client, Way way) throws IOException {
        switch (way) {
            case CANCEL -> ((TdsTestClient) wire).sendAttention(client.socket);
            case RESET -> {
                client.socket.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    /**
     * Guards against taking for a stalled client one that is not read from: behind a large command comes half of
     * another one, and its other half while the first is still out.
     */
    @Test(dataProvider = "wires")
    public void halfACommandBehindALargeOneIsNoStall(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.primary().delayMs = 2_800;
            client.send(statement("reserve", 5_000, "") + "x".repeat(LARGE));
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
