package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Hundreds of clients at once that occupy memory: the program as a process on one core, with its usual heap. */
public class CrowdIT extends BothWiresFixture {
    private static final int CORE = 2;
    private static final int CLIENTS = 400;
    private static final int PACED_CLIENTS = 3;
    private static final int SOCKETS = 1_024;
    private static final int CROWD_MILLIS = Integer.getInteger("crankwick.crowd.millis", 4_000);
    private static final int LARGER_THAN_A_READ_CHARS = 20_000;
    private static final int LARGE_CHARS = 80_000;
    private static final int BURST = 500;
    private static final int EMPTY_STATEMENTS = 20_000;
    /** The highest memory limit of a scored day. */
    private static final long MAX_RESIDENT_KILOBYTES = 192 * 1_024;

    /** What each client of the crowd does, again and again on new connections. */
    private enum Behaviour {
        STOPS_WITHIN_A_LARGE_REQUEST,
        WRITES_SLOWLY,
        SENDS_MANY_SHORT_HINTS,
        /** Sends a large request, reads its answer and stays connected. */
        STAYS_AFTER_A_LARGE_REQUEST,
        /** Sends 500 readable writes at once and leaves. */
        SENDS_A_BURST_AND_LEAVES,
        READS_NO_ANSWERS
    }

    /** All combinations of protocol and behaviour. */
    @DataProvider
    public Object[][] behaviours() {
        return wiresWith(Behaviour.values());
    }

    /** Guards against running out of memory while hundreds of clients send slowly, in part, or without reading. */
    @Test(dataProvider = "behaviours")
    public void memorySufficesForACrowd(TestWireClient wire, Behaviour behaviour) throws Exception {
        assertOthersAreAnswered(wire, behaviour, 0);
    }

    /** Guards against losing other clients' large requests while hundreds of clients occupy memory. */
    @Test(dataProvider = "behaviours")
    public void largeRequestsOfOthersAreAnswered(TestWireClient wire, Behaviour behaviour) throws Exception {
        assertOthersAreAnswered(wire, behaviour, LARGER_THAN_A_READ_CHARS);
    }

    private void assertOthersAreAnswered(TestWireClient wire, Behaviour behaviour, int paddingChars) throws Exception {
        try (Deployment d = Deployment.onOneCore(wire, CORE, SOCKETS)) {
            AtomicInteger ids = new AtomicInteger(1 << 30);
            List<PacedClient> paced = new ArrayList<>();
            for (int i = 0; i < PACED_CLIENTS; i++) {
                paced.add(new PacedClient(d, ids, paddingChars));
            }
            Thread.sleep(300);
            ClientCrowd crowd =
                    new ClientCrowd(d, CLIENTS, (clients, socket) -> behave(clients, d.wire, socket, behaviour));
            Thread.sleep(CROWD_MILLIS);
            crowd.stop();
            Thread.sleep(1_000);
            paced.forEach(PacedClient::close);
            String seen =
                    wire.getClass().getSimpleName() + " " + behaviour + ": " + paced + " " + maxResidentKilobytes(d)
                            + " KB at most, " + ProxyProcess.liveHeapKilobytes(d.process) + " KB left "
                            + ProxyProcess.lateLines(d.log)
                            + paced.stream().map(PacedClient::trace).toList();
            System.out.println(seen);
            assertTrue(d.process.isAlive(), seen);
            assertTrue(d.log.stream().noneMatch(line -> line.contains("OutOfMemoryError")), seen);
            assertTrue(maxResidentKilobytes(d) < MAX_RESIDENT_KILOBYTES, seen);
            try (Deployment.Client client = d.client()) {
                assertEquals(client.execute(statement("map-view", 1_000, "")).kind(), "SERVED", seen);
            }
            for (PacedClient client : paced) {
                assertTrue(client.answers > 0, seen);
                assertEquals(client.lost, 0, seen);
            }
            assertEquals(d.errorLines(), List.of());
        }
    }

    private void behave(ClientCrowd crowd, TestWireClient wire, Socket socket, Behaviour behaviour)
            throws IOException, InterruptedException {
        socket.setSoTimeout(CROWD_MILLIS);
        OutputStream out = socket.getOutputStream();
        byte[] large = wire.encodeCommand(write() + "x".repeat(LARGE_CHARS), 0);
        switch (behaviour) {
            case STOPS_WITHIN_A_LARGE_REQUEST -> {
                out.write(large, 0, large.length / 2);
                socket.getInputStream().read();
            }
            case WRITES_SLOWLY -> {
                for (int at = 0; at + 1_000 < large.length && !crowd.isStopped(); at += 1_000) {
                    out.write(large, at, 1_000);
                    Thread.sleep(20);
                }
            }
            case SENDS_MANY_SHORT_HINTS -> {
                out.write(wire.encodeCommand("/*" + "a=1,".repeat(LARGE_CHARS / 4) + "*/ SELECT 1", 0));
                socket.getInputStream().read();
            }
            case STAYS_AFTER_A_LARGE_REQUEST -> {
                out.write(wire.encodeCommand("/*" + "x".repeat(LARGE_CHARS) + "*/ SELECT 1", 0));
                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            }
            case SENDS_A_BURST_AND_LEAVES -> {
                StringBuilder burst = new StringBuilder();
                for (int i = 0; i < BURST; i++) {
                    burst.append(new String(wire.encodeCommand(write(), 0), StandardCharsets.ISO_8859_1));
                }
                out.write(burst.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
            case READS_NO_ANSWERS -> {
                byte[] empty = wire.encodeCommand("", 0);
                String many = new String(empty, StandardCharsets.ISO_8859_1).repeat(EMPTY_STATEMENTS);
                while (!crowd.isStopped()) {
                    out.write(many.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    private synchronized String write() {
        return statement("reserve", 3_000, "");
    }

    /** The most memory that the process has occupied. */
    private static long maxResidentKilobytes(Deployment d) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + d.process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findAny()
                .orElseThrow();
    }
}
