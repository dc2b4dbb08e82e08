package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Behavior that is specific to the client listener of one protocol, and validation of the operator's file. */
public class ClientListenerIT {
    private static String statement(String id, String className) {
        return "/* id=" + id + ",c=" + className + ",d=2000,k=1,cluster=0 */ SELECT val FROM state";
    }

    /** Guards against replies out of order: the write is slow, the read pipelined behind it is fast. */
    @Test
    public void pgRepliesAreSentInCommandOrder() throws Exception {
        try (Deployment d = new Deployment(new PgTestClient());
                Deployment.Client client = d.client()) {
            d.primary().delayMillis = 300;
            client.send(statement("1", "reserve"));
            client.send(statement("2", "map-view"));
            client.send("");
            assertEquals(client.readAnswer().value(), "s-a:1");
            assertTrue(client.readAnswer().value().endsWith(":2"));
            assertEquals(client.readAnswer().kind(), "EMPTY");
            assertEquals(d.attemptLog.attemptsAt("s-a").size(), 1);
        }
    }

    @Test
    public void pgAcceptsInputByteByByteAfterRefusingEncryption() throws Exception {
        PgTestClient wire = new PgTestClient();
        try (Deployment d = new Deployment(wire);
                Socket socket = d.connect()) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 8, 4, (byte) 0xD2, 22, 47});
            assertEquals(socket.getInputStream().read(), 'N');
            wire.login(socket, "");
            byte[] text = (statement("1", "map-view") + "\0").getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(new byte[] {'Q', 0, 0, 0, (byte) (text.length + 4)});
            for (byte b : text) {
                socket.getOutputStream().write(b);
                Thread.sleep(1);
            }
            assertEquals(
                    wire.readAnswer(new java.io.DataInputStream(socket.getInputStream()))
                            .kind(),
                    "SERVED");
        }
    }

    @Test
    public void tdsTeamContractsAreEnforced() throws Exception {
        TdsTestClient wire = new TdsTestClient();
        try (Deployment d = new Deployment(wire);
                Deployment.Client reports = d.new Client("reports");
                Deployment.Client more = d.new Client("reports");
                Deployment.Client third = d.new Client("reports");
                Deployment.Client collectors = d.client()) {
            assertThrows(EOFException.class, () -> d.new Client("strangers"));
            assertEquals(reports.execute(statement("1", "reserve")).code(), "50203");
            d.databases.forEach(database -> database.delayMillis = 3_000);
            reports.send(statement("2", "map-view"));
            more.send(statement("3", "map-view"));
            Thread.sleep(100);
            TestWireClient.Answer over = third.execute(statement("4", "map-view"));
            assertEquals(over.code(), "50103", over.toString());
            assertTrue(over.retryAfter() > 0, over.toString());
            // The team's deadline cap of 400 ms is shorter than the deadline of these requests.
            long start = System.nanoTime();
            assertTrue(reports.readAnswer().kind().matches("REFUSED|FAILED"));
            assertTrue(more.readAnswer().kind().matches("REFUSED|FAILED"));
            assertTrue(System.nanoTime() - start < 1_500_000_000L);
            d.databases.forEach(database -> database.delayMillis = 0);
            TestWireClient.Answer last = null;
            for (int i = 5; i < 60 && (last == null || !last.code().equals("50102")); i++) {
                last = third.execute(statement("" + i, "map-view"));
            }
            assertEquals(last.code(), "50102");
            assertTrue(last.retryAfter() > 0 && last.retryAfter() <= 200, last.toString());
            assertEquals(collectors.execute(statement("60", "reserve")).kind(), "SERVED");
        }
    }

    /** Guards against the cancelled request's reply being sent after the acknowledgement of the attention. */
    @Test
    public void tdsAttentionCancelsTheBatch() throws Exception {
        TdsTestClient wire = new TdsTestClient();
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.primary().delayMillis = 500;
            client.send(statement("1", "reserve"));
            Thread.sleep(100);
            wire.sendAttention(client.socket);
            assertEquals(client.readAnswer().kind(), "ATTENTION");
            assertEquals(client.execute(statement("2", "reserve")).value(), "s-a:2");
        }
    }

    /** Invalid edits of the operator's file, and the key that the one-line error must name. */
    @DataProvider
    public Object[][] invalidOperatorFiles() {
        return new Object[][] {
            {"listen = ", "listne = ", "listne"},
            {"sockets = 512", "sockets = 'x'", "sockets"},
            {"sockets = 512", "", "sockets"},
            {"service = \"_tds", "service = \"..", "discovery.service"},
            {"stations.zone", "none.zone", "discovery.records"},
            {"[\"map-view\"]", "[\"no\"]", "teams.reports.classes"},
            {"outstanding = 2", "outstanding = -2", "teams.reports.outstanding"},
            {"drain-grace-ms = 2000.0", "", "rules.drain-grace-ms"},
            {"127.0.0.1:1433", "nowhere", "listen"},
            {"repeat = \"keyed\"", "repeat = \"often\"", "classes[3].repeat"},
            {"[teams", "[steams", "steams"}
        };
    }

    @Test(dataProvider = "invalidOperatorFiles")
    public void invalidOperatorFileFailsStartup(String validText, String invalidText, String key) throws Exception {
        Path folder = Files.createTempDirectory("crankwick");
        Files.copy(
                Path.of("deploy/stations.zone"), folder.resolve("stations.zone"), StandardCopyOption.REPLACE_EXISTING);
        String text = Files.readString(Path.of("deploy/tds.toml"));
        assertTrue(text.contains(validText));
        Process process = ProxyProcess.start(
                null, Files.writeString(folder.resolve("tds.toml"), text.replace(validText, invalidText)));
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), 2, output);
        assertEquals(output.lines().count(), 1, output);
        assertTrue(output.contains(key), output);
    }
}
