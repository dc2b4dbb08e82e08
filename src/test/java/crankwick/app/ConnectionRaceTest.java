package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Bytes that arrive in the very moment in which something ends, in an order that each test forces. */
public class ConnectionRaceTest {
    private static final int WAIT_MS = 5_000;
    private static final long TEST_TIMEOUT_MS = 30_000;

    /** After SIGTERM the connection is idle for the loop, while its command has just been read. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadAsTheProxyClosesIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            proxy.loop.execute(
                    () -> proxy.clientListener.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.sendWrite("1", WAIT_MS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** Guards against a request that wants more time than is left being still open at the end. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void whoWaitsLongerThanTheProxyHasIsAnsweredBeforeItsEnd() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "NO_REPLY";
            client.sendWrite("1", 20_000);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            long latest = proxy.clock.now() + 500 * PausableProxyFixture.MS;
            proxy.onLoop(() -> proxy.clientListener.beginShutdown(latest));
            assertEquals(client.readAnswer(), "Failed");
            assertNull(client.readAnswer());
            long late = proxy.clock.now() - latest;
            assertTrue(late >= 0 && late < 2_000 * PausableProxyFixture.MS, late + " us");
        }
    }

    /** A connection has been idle for its whole time, and its command has just been read. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadAsItsIdleConnectionEndsIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(2);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            Thread.sleep(2_500);
            client.sendWrite("1", WAIT_MS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(other.readAnswer());
        }
    }

    /** An idle connection is to make room for a new one, and its command has just been read. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadAsItsConnectionMakesRoomIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(1);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            proxy.awaitSelectorThread();
            client.sendWrite("1", WAIT_MS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
        }
    }

    /** Half a command has been read when the proxy closes: its other half comes, and then its answer. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadInHalfAsTheProxyClosesIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            client.sendPart("/* id=1,c=write,d=5000,k=k1,clus");
            proxy.awaitSelectorThread();
            pause.resume();
            proxy.onLoop(
                    () -> proxy.clientListener.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.send("ter=0 */ INSERT");
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** The connection to the database is up; the client has closed, which the loop has not heard yet. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void nothingIsWrittenForAClientThatHasJustClosed() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client other = proxy.new Client()) {
            PausableProxyFixture.Client leaver = proxy.new Client();
            PausableProxyFixture.LoopPause beforeGreeting = greetedWhileHeld(proxy, leaver);
            PausableProxyFixture.LoopPause beforeClose = proxy.queueLoopPause();
            leaver.close();
            letGreetingPass(proxy, beforeGreeting, beforeClose);
            other.sendWrite("2", WAIT_MS);
            assertEquals(other.readAnswer(), "Served primary:2");
            assertEquals(proxy.attemptLog.countAttempts("1"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /** The same of a client that cancels its command and stays. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void nothingIsWrittenForACommandThatHasJustBeenCancelled() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause beforeGreeting = greetedWhileHeld(proxy, client);
            PausableProxyFixture.LoopPause beforeCancel = proxy.queueLoopPause();
            client.send(LineProtocolCodec.CANCEL);
            letGreetingPass(proxy, beforeGreeting, beforeCancel);
            assertEquals(client.readAnswer(), "CancelAcknowledged");
            client.sendWrite("2", WAIT_MS);
            assertEquals(client.readAnswer(), "Served primary:2");
            assertEquals(proxy.attemptLog.countAttempts("1"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /** A write of id 1 waits for its connection, whose greeting is behind the held loop when this returns. */
    private static PausableProxyFixture.LoopPause greetedWhileHeld(
            PausableProxyFixture proxy, PausableProxyFixture.Client client) throws Exception {
        proxy.database.greetingLatch = new CountDownLatch(1);
        client.sendWrite("1", WAIT_MS);
        while (proxy.database.openedConnections.get() == 0) {
            Thread.sleep(1);
        }
        PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
        proxy.database.greetingLatch.countDown();
        while (proxy.database.greetedConnections.get() == 0) {
            Thread.sleep(1);
        }
        proxy.awaitSelectorThread();
        return pause;
    }

    /** The reader has seen the client go when the loop hears of the greeting; the loop hears of it after. */
    private static void letGreetingPass(
            PausableProxyFixture proxy,
            PausableProxyFixture.LoopPause beforeGreeting,
            PausableProxyFixture.LoopPause beforeEnd)
            throws Exception {
        proxy.awaitSelectorThread();
        beforeGreeting.resume();
        beforeEnd.await();
        proxy.awaitSelectorThread();
        beforeEnd.resume();
    }

    /** A repeat's connection comes up after the window in which databases discard repeats. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void repeatIsNotWrittenOnceItsKeysWindowIsOver() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "DISCONNECT";
            proxy.database.delayMs = 200;
            client.sendWrite("1", WAIT_MS);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            proxy.database.greetingLatch = new CountDownLatch(1);
            int opened = proxy.database.openedConnections.get();
            while (proxy.database.openedConnections.get() == opened) {
                Thread.sleep(1);
            }
            Thread.sleep(PausableProxyFixture.KEY_TTL / PausableProxyFixture.MS);
            proxy.database.replyKind = "VALUE";
            proxy.database.greetingLatch.countDown();
            assertEquals(client.readAnswer(), "Failed");
            assertEquals(proxy.attemptLog.countAttempts("1"), 1, proxy.attemptLog.attempts.toString());
        }
    }

    /** The time that a database is told counts from when the command was read, however late the loop is. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void lateLoopLeavesADatabaseLessTime() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            client.sendWrite("1", WAIT_MS);
            Thread.sleep(400);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            String told = proxy.attemptLog.attempts.get(0).statement().replaceAll(".*,d=(\\d+),.*", "$1");
            assertTrue(Integer.parseInt(told) <= WAIT_MS - 400, told);
        }
    }

    /**
     * The client has closed while the thread that reads was held up, and its command is the next thing that this
     * thread has to write: what has arrived is read first.
     */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void nothingIsWrittenForAClientThatClosedWhileTheReaderWasHeldUp() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client other = proxy.new Client()) {
            other.sendWrite("1", WAIT_MS);
            assertEquals(other.readAnswer(), "Served primary:1");
            Thread.sleep(100);
            PausableProxyFixture.Client leaver = proxy.new Client();
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            leaver.sendWrite("2", WAIT_MS);
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            leaver.close();
            Thread.sleep(100);
            pause.resume();
            proxy.onLoop(() -> {});
            proxy.wire.selectorReleased.countDown();
            other.sendWrite("3", WAIT_MS);
            assertEquals(other.readAnswer(), "Served primary:3");
            assertEquals(proxy.attemptLog.countAttempts("2"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /** An idle connection is to end; its command has arrived while the thread that reads was held up. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandThatArrivesWhileTheReaderIsHeldUpIsAnsweredAsTheProxyCloses() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            proxy.onLoop(
                    () -> proxy.clientListener.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.sendPart("/* id=1,c=write,d=5000,k=k1,cluster=0 */ INSERT\n");
            Thread.sleep(100);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** A command's other half has arrived while the thread that reads was held up: the client does not stall. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandWhoseEndHasArrivedIsNoStall() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            client.sendPart("/* id=1,c=write,d=5000,k=k1,clus");
            proxy.awaitSelectorThread();
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            client.sendPart("ter=0 */ INSERT\n");
            Thread.sleep(2_500);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
        }
    }

    /** The same of a database's answer: its attempt is not given up, and not made again. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void answerWhoseEndHasArrivedIsNoStall() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.replyKind = "SPLIT";
            client.sendWrite("1", WAIT_MS);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            proxy.database.splitPermits.release();
            Thread.sleep(50);
            proxy.awaitSelectorThread();
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            proxy.database.splitPermits.release();
            Thread.sleep(400);
            pause.resume();
            Thread.sleep(200);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertEquals(proxy.attemptLog.countAttempts("1"), 1, proxy.attemptLog.attempts.toString());
        }
    }

    /** A database's greeting has arrived in time, while the thread that reads was held up. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void greetingThatHasArrivedIsInTime() throws Exception {
        int timeoutMs = 500;
        try (PausableProxyFixture proxy = new PausableProxyFixture(10, timeoutMs * PausableProxyFixture.MS);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.greetingLatch = new CountDownLatch(1);
            PausableProxyFixture.LoopPause pause = greetedWhileHeldUp(proxy, client, other);
            Thread.sleep(2 * timeoutMs);
            pause.resume();
            Thread.sleep(100);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertEquals(proxy.database.openedConnections.get(), 1);
        }
    }

    /** A write of id 1 waits for its connection, whose greeting is before the held reader when this returns. */
    private static PausableProxyFixture.LoopPause greetedWhileHeldUp(
            PausableProxyFixture proxy, PausableProxyFixture.Client client, PausableProxyFixture.Client other)
            throws Exception {
        client.sendWrite("1", WAIT_MS);
        while (proxy.database.openedConnections.get() == 0) {
            Thread.sleep(1);
        }
        proxy.awaitSelectorThread();
        proxy.onLoop(() -> {});
        PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
        other.send(LineProtocolCodec.BLOCK_SELECTOR);
        proxy.database.greetingLatch.countDown();
        return pause;
    }

    /** However many commands a client sends behind one that waits: each has its answer, in its turn. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandsBeyondTheLimitAreRefusedInTheirPlaces() throws Exception {
        int more = 200_000;
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "NO_REPLY";
            client.sendWrite("1", 2_000);
            client.sendPart("\n".repeat(more));
            assertEquals(client.readAnswer(), "Failed");
            int nothing = 0;
            int refused = 0;
            for (int i = 0; i < more; i++) {
                String answer = client.readAnswer();
                assertTrue(answer.equals("EmptyQueryResponse") || answer.equals("Rejected"), i + ": " + answer);
                nothing += answer.equals("EmptyQueryResponse") ? 1 : 0;
                refused += answer.equals("Rejected") ? 1 : 0;
            }
            assertEquals(nothing + refused, more);
            assertTrue(nothing >= 1_023, nothing + " of those behind the first are within the limit");
            assertTrue(proxy.clientListener.counters().contains(" open_bytes=0"), proxy.clientListener.counters());
        }
    }

    /** The same client goes instead: its close is seen behind all that it has sent. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void closeBehindCommandsBeyondTheLimitIsSeen() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.replyKind = "NO_REPLY";
            PausableProxyFixture.Client client = proxy.new Client();
            client.sendWrite("1", WAIT_MS);
            client.sendPart("\n".repeat(200_000));
            client.close();
            long from = System.nanoTime();
            while (proxy.outstandingRequests() > 0) {
                Thread.sleep(1);
            }
            assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(WAIT_MS / 2));
            assertTrue(proxy.clientListener.counters().contains(" open_bytes=0"), proxy.clientListener.counters());
        }
    }

    /** Guards against reading so little ahead that a client's close behind its commands is not seen. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void closeBehindManyUnansweredCommandsIsSeen() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.replyKind = "NO_REPLY";
            PausableProxyFixture.Client client = proxy.new Client();
            for (int i = 1; i <= 200; i++) {
                client.sendWrite(Integer.toString(i), WAIT_MS);
            }
            proxy.awaitSelectorThread();
            assertEquals(proxy.outstandingRequests(), 200);
            client.close();
            proxy.awaitSelectorThread();
            assertEquals(proxy.outstandingRequests(), 0);
        }
    }
}
