package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Invalid, slow, pipelining and disconnecting clients, and graceful shutdown, on both protocols. */
public class ClientsIT extends BothWiresFixture {
    /** Fits into one message of either protocol. */
    private static final int LONG_STATEMENT_CHARS = 120_000;

    @Test(dataProvider = "wires")
    public void invalidStatementFailsWithoutAffectingOthers(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            List<String> hints = List.of(
                    "id=1,c=map-view,d=480",
                    "id=1,c=map-view,cluster=0",
                    "id=1,d=480,cluster=0",
                    "c=map-view,d=480,cluster=0",
                    "id=1,c=none,d=480,cluster=0",
                    "id=1,c=map-view,d=x,cluster=0",
                    "id=1,c=map-view,d=-5,cluster=0",
                    "",
                    "id=1,c=map-view,d=480,cluster=99999999999999999999",
                    "id=1,c=reserve,d=480,cluster=0",
                    "id=1,c=map-view,d=480,cluster=0,after=x",
                    "id=,c=map-view,d=480,cluster=0",
                    ",,=,");
            for (String hint : hints) {
                assertEquals(client.execute("/* " + hint + " */ SELECT 1").kind(), "FAILED", hint);
            }
            assertEquals(client.execute("SELECT 1").kind(), "FAILED");
            assertEquals(client.execute("/* id=1").kind(), "FAILED");
            assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            assertEquals(d.attemptLog.attempts.size(), 1);
            assertNoViolations(d);
        }
    }

    /** Guards against statements whose parsing takes the square of their length and holds up every other client. */
    @Test(dataProvider = "wires")
    public void longInvalidStatementsDoNotDelayOtherClients(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client();
                Deployment.Client sender = d.client()) {
            List<String> repeated = List.of(",", "=", "=,", "d=1,", "k=,", "' ", "/*", "*/");
            for (String part : repeated) {
                String hints = part.repeat(LONG_STATEMENT_CHARS / part.length());
                sender.send("/*" + hints + "*/ SELECT val FROM state");
            }
            TestWireClient.Answer answer = client.execute(statement("map-view", 1000, ""));
            assertEquals(answer.kind(), "SERVED", answer.toString());
            for (String part : repeated) {
                assertEquals(sender.readAnswer().kind(), "FAILED", part);
            }
            assertNoViolations(d);
        }
    }

    @Test(dataProvider = "wires")
    public void invalidInputClosesOnlyItsOwnConnection(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            for (byte[] bytes : wire.invalidInputs()) {
                for (boolean loggedIn : new boolean[] {false, true}) {
                    try (Socket socket = d.connect()) {
                        if (loggedIn) {
                            wire.login(socket, "collectors");
                        }
                        socket.getOutputStream().write(bytes);
                        socket.shutdownOutput();
                        readToEnd(socket);
                    }
                }
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            assertNoViolations(d);
        }
    }

    /** Guards against silent clients, and clients that stop within a message, occupying connections without limit. */
    @Test(dataProvider = "wires")
    public void clientsWithoutACompleteCommandInTimeAreDisconnected(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                silent.add(d.connect());
            }
            for (byte[] bytes : new byte[][] {{0}, wire.encodeCommand(statement("map-view", 1000, ""), 1)}) {
                silent.add(d.connect());
                if (bytes.length > 1) {
                    wire.login(silent.get(silent.size() - 1), "collectors");
                }
                silent.get(silent.size() - 1).getOutputStream().write(bytes);
            }
            for (int i = 0; i < 40; i++) {
                try (Deployment.Client more = d.client()) {
                    assertEquals(more.execute(statement("map-view", 1000, "")).kind(), "SERVED");
                }
                assertEquals(client.execute(statement("map-view", 1000, "")).kind(), "SERVED");
            }
            long start = System.nanoTime();
            for (Socket socket : silent) {
                readToEnd(socket);
                socket.close();
            }
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(8));
            assertNoViolations(d);
        }
    }

    /** Guards against a reset that discards the error reply, and against allocating memory for an announced length. */
    @Test(dataProvider = "wires")
    public void oversizedCommandFailsAfterEarlierReplies(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.primary().delayMillis = 300;
            client.send(statement("reserve", 3000, ""));
            String before = lastId();
            client.socket.getOutputStream().write(wire.encodeCommand("x".repeat(4 << 20), 0));
            assertEquals(client.readAnswer().value(), "s-a:" + before);
            assertEquals(client.readAnswer().kind(), "FAILED");
            assertEquals(client.readAnswer().kind(), "CLOSED");
            assertNoViolations(d);
        }
    }

    /** Guards against taking input that has long been read for unread, and so refusing what follows it. */
    @Test(dataProvider = "wires")
    public void statementsLargerThanAReadAreServedInSuccession(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            for (int i = 0; i < 8; i++) {
                TestWireClient.Answer answer = client.execute(statement("map-view", 1_000, "") + "x".repeat(20_000));
                assertEquals(answer.kind(), "SERVED", i + ": " + answer);
                Thread.sleep(30);
            }
            assertNoViolations(d);
        }
    }

    /** Guards against dropping commands of a client that pipelines hundreds of them. */
    @Test(dataProvider = "wires")
    public void hundredsOfPipelinedCommandsAreAllAnsweredInOrder(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            int last = Integer.parseInt(lastId());
            for (int i = 0; i < 400; i++) {
                client.send(i % 2 == 0 ? statement("map-view", 10_000, "") : "SELECT " + i);
            }
            for (int i = 0; i < 400; i++) {
                TestWireClient.Answer answer = client.readAnswer();
                assertTrue(
                        i % 2 == 1
                                ? answer.kind().equals("FAILED")
                                : answer.value() == null || answer.value().endsWith(":" + (last + 1 + i / 2)),
                        i + " " + answer);
            }
            assertNoViolations(d);
        }
    }

    /** Guards against two attempts in flight under one id, also if two clients send it. */
    @Test(dataProvider = "wires")
    public void secondRequestWithAnOpenIdFails(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client();
                Deployment.Client other = d.client()) {
            d.primary().delayMillis = 400;
            String statement = statement("reserve", 3000, "");
            client.send(statement);
            Thread.sleep(100);
            assertEquals(other.execute(statement).kind(), "FAILED");
            assertServedBy(client.readAnswer(), "s-a");
            assertEquals(d.attemptLog.attempts.size(), 1);
            assertNoViolations(d);
        }
    }

    private static void readToEnd(Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
        } catch (java.net.SocketException e) {
            // A reset also counts as closed by the proxy.
            assertTrue(e.getMessage().contains("reset"), e.toString());
        }
    }

    @Test(dataProvider = "wires")
    public void clientDisconnectDoesNotAffectOtherClients(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.databases.forEach(database -> database.delayMillis = 400);
            try (Deployment.Client disconnectingClient = d.client()) {
                disconnectingClient.send(statement("reserve", 3000, ""));
                Thread.sleep(100);
            }
            assertEquals(client.execute(statement("reserve", 3000, "")).kind(), "SERVED");
            assertNoViolations(d);
        }
    }

    /** Guards against starting an attempt on a connection that is established after the client has disconnected. */
    @Test(dataProvider = "wires")
    public void noAttemptStartsForADisconnectedClient(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire, "connect-timeout-ms = 250.0", "connect-timeout-ms = 9000.0")) {
            d.databases.forEach(database -> database.greetingDelayMillis = 1_000);
            for (String className : List.of("reserve", "map-view")) {
                try (Deployment.Client disconnectingClient = d.client()) {
                    disconnectingClient.send(statement(className, 3000, ""));
                    Thread.sleep(300);
                }
            }
            Thread.sleep(1_500);
            assertEquals(d.attemptLog.attempts, List.of());
            try (Deployment.Client client = d.client()) {
                assertServedBy(client.execute(statement("reserve", 3000, "")), "s-a");
            }
            assertNoViolations(d);
        }
    }

    /** A request pipelined after SIGTERM is answered before the exit, even if its deadline is later. */
    @Test(dataProvider = "wires")
    public void requestPipelinedAfterSigtermIsAnsweredBeforeExit(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client client = d.client()) {
            d.databases.forEach(database -> database.replyKind = "NO_REPLY");
            client.send(statement("reserve", 3000, ""));
            Thread.sleep(100);
            d.process.toHandle().destroy();
            Thread.sleep(1_200);
            client.send(statement("reserve", 3000, ""));
            for (int i = 0; i < 2; i++) {
                TestWireClient.Answer answer = client.readAnswer();
                assertTrue(answer.kind().matches("FAILED|REFUSED"), i + ": " + answer);
            }
            assertTrue(d.process.waitFor(10, TimeUnit.SECONDS));
            assertNoViolations(d);
        }
    }

    /** Planned restarts must not lose requests: the process exits only after all open requests are answered. */
    @Test(dataProvider = "wires")
    public void sigtermLosesNoAcceptedRequest(TestWireClient wire) throws Exception {
        try (Deployment d = new Deployment(wire);
                Deployment.Client idle = d.client();
                Deployment.Client late = d.client()) {
            d.primary().delayMillis = 1_200;
            List<Deployment.Client> clients = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                clients.add(d.client());
                clients.get(i).send(statement("reserve", 3000, ""));
            }
            Thread.sleep(200);
            d.process.toHandle().destroy();
            Thread.sleep(100);
            late.send(statement("map-view", 1000, ""));
            assertEquals(late.readAnswer().kind(), "SERVED");
            for (Deployment.Client client : clients) {
                assertEquals(client.readAnswer().kind(), "SERVED");
                client.close();
            }
            assertEquals(idle.readAnswer().kind(), "CLOSED");
            String counters = d.terminate();
            assertTrue(
                    counters.contains("received=4 sent=4") && counters.contains("served=4 rejected={} failed={}"),
                    counters);
            assertNoViolations(d);
        }
    }
}
