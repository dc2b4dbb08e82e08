package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Races between incoming bytes and the end of a connection, a request or the proxy. Each test forces one order of
 * events by pausing the event loop or by blocking the selector thread.
 */
public class ConnectionRaceTest {
    private static final int DEADLINE_MILLIS = 5_000;
    private static final long TEST_TIMEOUT_MILLIS = 30_000;

    /** Shutdown begins when a command has been read, but the event loop still regards its connection as idle. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandReadAsShutdownBeginsIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            proxy.loop.execute(() -> proxy.clientListener.beginShutdown(
                    proxy.clock.now() + DEADLINE_MILLIS * PausableProxyFixture.MICROS_PER_MILLI));
            client.sendWrite("1", DEADLINE_MILLIS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** Guards against a request whose deadline is after the shutdown deadline staying open when the proxy exits. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void requestWithDeadlineAfterShutdownIsAnsweredBeforeExit() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "NO_REPLY";
            client.sendWrite("1", 20_000);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            long shutdownDeadline = proxy.clock.now() + 500 * PausableProxyFixture.MICROS_PER_MILLI;
            proxy.onLoop(() -> proxy.clientListener.beginShutdown(shutdownDeadline));
            assertEquals(client.readAnswer(), "Failed");
            assertNull(client.readAnswer());
            long overrun = proxy.clock.now() - shutdownDeadline;
            assertTrue(
                    overrun >= 0 && overrun < 2_000 * PausableProxyFixture.MICROS_PER_MILLI,
                    overrun + " us past the shutdown deadline");
        }
    }

    /** Guards against closing a connection as idle when a command has been read from it but not yet processed. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandReadAsIdleTimeoutExpiresIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(2);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            Thread.sleep(2_500);
            client.sendWrite("1", DEADLINE_MILLIS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(other.readAnswer());
        }
    }

    /** Guards against evicting a connection as idle when a command has been read from it but not yet processed. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandReadAsItsConnectionIsEvictedIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(1);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            proxy.awaitSelectorThread();
            client.sendWrite("1", DEADLINE_MILLIS);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
        }
    }

    /** Shutdown begins when half of a command has been read: the proxy reads the other half and answers. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void partialCommandReadAsShutdownBeginsIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            client.sendPart("/* id=1,c=write,d=5000,k=k1,clus");
            proxy.awaitSelectorThread();
            pause.resume();
            proxy.onLoop(() -> proxy.clientListener.beginShutdown(
                    proxy.clock.now() + DEADLINE_MILLIS * PausableProxyFixture.MICROS_PER_MILLI));
            client.send("ter=0 */ INSERT");
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** The database connection becomes ready before the event loop has processed the client's close. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandIsNotSentAfterItsClientCloses() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client other = proxy.new Client()) {
            PausableProxyFixture.Client closingClient = proxy.new Client();
            PausableProxyFixture.LoopPause beforeGreeting = awaitGreetingWithLoopPaused(proxy, closingClient);
            PausableProxyFixture.LoopPause beforeClose = proxy.queueLoopPause();
            closingClient.close();
            deliverGreetingBeforeDisconnect(proxy, beforeGreeting, beforeClose);
            other.sendWrite("2", DEADLINE_MILLIS);
            assertEquals(other.readAnswer(), "Served primary:2");
            assertEquals(proxy.attemptLog.countAttempts("1"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /** The database connection becomes ready before the event loop has processed the client's cancel. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandIsNotSentAfterItIsCancelled() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause beforeGreeting = awaitGreetingWithLoopPaused(proxy, client);
            PausableProxyFixture.LoopPause beforeCancel = proxy.queueLoopPause();
            client.send(LineProtocolCodec.CANCEL);
            deliverGreetingBeforeDisconnect(proxy, beforeGreeting, beforeCancel);
            assertEquals(client.readAnswer(), "CancelAcknowledged");
            client.sendWrite("2", DEADLINE_MILLIS);
            assertEquals(client.readAnswer(), "Served primary:2");
            assertEquals(proxy.attemptLog.countAttempts("1"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /**
     * Sends a write with id 1, which waits for a database connection. Returns with the event loop paused and the
     * greeting of that connection read by the selector thread.
     */
    private static PausableProxyFixture.LoopPause awaitGreetingWithLoopPaused(
            PausableProxyFixture proxy, PausableProxyFixture.Client client) throws Exception {
        proxy.database.greetingLatch = new CountDownLatch(1);
        client.sendWrite("1", DEADLINE_MILLIS);
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

    /**
     * Lets the event loop process the greeting when the selector thread has already read the client's close or cancel,
     * which the event loop processes afterwards.
     */
    private static void deliverGreetingBeforeDisconnect(
            PausableProxyFixture proxy,
            PausableProxyFixture.LoopPause beforeGreeting,
            PausableProxyFixture.LoopPause beforeDisconnect)
            throws Exception {
        proxy.awaitSelectorThread();
        beforeGreeting.resume();
        beforeDisconnect.await();
        proxy.awaitSelectorThread();
        beforeDisconnect.resume();
    }

    /** The connection for a retry becomes ready after the key window, when databases no longer deduplicate. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void retryIsNotSentAfterItsKeyWindowExpires() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "DISCONNECT";
            proxy.database.delayMillis = 200;
            client.sendWrite("1", DEADLINE_MILLIS);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            proxy.database.greetingLatch = new CountDownLatch(1);
            int opened = proxy.database.openedConnections.get();
            while (proxy.database.openedConnections.get() == opened) {
                Thread.sleep(1);
            }
            Thread.sleep(PausableProxyFixture.KEY_TTL / PausableProxyFixture.MICROS_PER_MILLI);
            proxy.database.replyKind = "VALUE";
            proxy.database.greetingLatch.countDown();
            assertEquals(client.readAnswer(), "Failed");
            assertEquals(proxy.attemptLog.countAttempts("1"), 1, proxy.attemptLog.attempts.toString());
        }
    }

    /** The deadline sent to a database counts from when the command was read, even if the event loop is delayed. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void eventLoopDelayReducesTheDeadlineSentToTheDatabase() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            client.sendWrite("1", DEADLINE_MILLIS);
            Thread.sleep(400);
            pause.resume();
            assertEquals(client.readAnswer(), "Served primary:1");
            String sentDeadline = proxy.attemptLog.attempts.get(0).statement().replaceAll(".*,d=(\\d+),.*", "$1");
            assertTrue(Integer.parseInt(sentDeadline) <= DEADLINE_MILLIS - 400, sentDeadline);
        }
    }

    /**
     * The client closes while the selector thread is blocked and the write of its command is queued on that thread.
     * The selector thread reads pending input first, and so detects the close before the write.
     */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandIsNotSentIfItsClientClosesWhileSelectorIsBlocked() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client other = proxy.new Client()) {
            other.sendWrite("1", DEADLINE_MILLIS);
            assertEquals(other.readAnswer(), "Served primary:1");
            Thread.sleep(100);
            PausableProxyFixture.Client closingClient = proxy.new Client();
            PausableProxyFixture.LoopPause pause = proxy.pauseLoop();
            closingClient.sendWrite("2", DEADLINE_MILLIS);
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            closingClient.close();
            Thread.sleep(100);
            pause.resume();
            proxy.onLoop(() -> {});
            proxy.wire.selectorReleased.countDown();
            other.sendWrite("3", DEADLINE_MILLIS);
            assertEquals(other.readAnswer(), "Served primary:3");
            assertEquals(proxy.attemptLog.countAttempts("2"), 0, proxy.attemptLog.attempts.toString());
        }
    }

    /** A command arrives after shutdown has begun, but before the blocked selector thread closes its connection. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandArrivingWhileSelectorIsBlockedIsAnsweredDuringShutdown() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            other.send(LineProtocolCodec.BLOCK_SELECTOR);
            proxy.onLoop(() -> proxy.clientListener.beginShutdown(
                    proxy.clock.now() + DEADLINE_MILLIS * PausableProxyFixture.MICROS_PER_MILLI));
            client.sendPart("/* id=1,c=write,d=5000,k=k1,cluster=0 */ INSERT\n");
            Thread.sleep(100);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertNull(client.readAnswer());
        }
    }

    /** Guards against treating a client as stalled when its command is completed while the selector is blocked. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandCompletedWhileSelectorIsBlockedIsNotStalled() throws Exception {
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

    /**
     * The second half of a database's reply arrives while the selector thread is blocked: the attempt does not fail and
     * is not retried.
     */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void responseCompletedWhileSelectorIsBlockedIsNotStalled() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.replyKind = "SPLIT";
            client.sendWrite("1", DEADLINE_MILLIS);
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

    /** A database's greeting arrives within the connect timeout while the selector thread is blocked. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void greetingReceivedWhileSelectorIsBlockedIsInTime() throws Exception {
        int timeoutMillis = 500;
        try (PausableProxyFixture proxy =
                        new PausableProxyFixture(10, timeoutMillis * PausableProxyFixture.MICROS_PER_MILLI);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.greetingLatch = new CountDownLatch(1);
            PausableProxyFixture.LoopPause pause = sendGreetingWithSelectorBlocked(proxy, client, other);
            Thread.sleep(2 * timeoutMillis);
            pause.resume();
            Thread.sleep(100);
            proxy.wire.selectorReleased.countDown();
            assertEquals(client.readAnswer(), "Served primary:1");
            assertEquals(proxy.database.openedConnections.get(), 1);
        }
    }

    /**
     * Sends a write with id 1, which waits for a database connection. Returns with the event loop paused and the
     * selector thread blocked, and lets the database send the greeting of that connection.
     */
    private static PausableProxyFixture.LoopPause sendGreetingWithSelectorBlocked(
            PausableProxyFixture proxy, PausableProxyFixture.Client client, PausableProxyFixture.Client other)
            throws Exception {
        client.sendWrite("1", DEADLINE_MILLIS);
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

    /** Commands pipelined behind an unanswered one are all answered in order, those over the limit with a rejection. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void commandsOverTheLimitAreRejectedInOrder() throws Exception {
        int pipelinedCommands = 200_000;
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.replyKind = "NO_REPLY";
            client.sendWrite("1", 2_000);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            client.sendPart("\n".repeat(pipelinedCommands));
            assertEquals(client.readAnswer(), "Failed");
            int emptyReplies = 0;
            int rejections = 0;
            for (int i = 0; i < pipelinedCommands; i++) {
                String answer = client.readAnswer();
                assertTrue(answer.equals("EmptyQueryResponse") || answer.equals("Rejected"), i + ": " + answer);
                emptyReplies += answer.equals("EmptyQueryResponse") ? 1 : 0;
                rejections += answer.equals("Rejected") ? 1 : 0;
            }
            assertEquals(emptyReplies + rejections, pipelinedCommands);
            assertTrue(emptyReplies >= 1_023, emptyReplies + " empty queries answered within the limit");
            assertTrue(proxy.clientListener.counters().contains(" open_bytes=0"), proxy.clientListener.counters());
        }
    }

    /** A client that closes after pipelining commands over the limit: the close behind them is detected. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void closeBehindCommandsOverTheLimitIsDetected() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.replyKind = "NO_REPLY";
            PausableProxyFixture.Client client = proxy.new Client();
            client.sendWrite("1", DEADLINE_MILLIS);
            while (proxy.attemptLog.countAttempts("1") == 0) {
                Thread.sleep(1);
            }
            client.sendPart("\n".repeat(200_000));
            client.close();
            long from = System.nanoTime();
            while (proxy.outstandingRequests() > 0) {
                Thread.sleep(1);
            }
            assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS / 2));
            assertTrue(proxy.clientListener.counters().contains(" open_bytes=0"), proxy.clientListener.counters());
        }
    }

    /** Guards against pausing reads at 200 open commands, which would hide the client's close behind them. */
    @Test(timeOut = TEST_TIMEOUT_MILLIS)
    public void closeBehindManyUnansweredCommandsIsDetected() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.replyKind = "NO_REPLY";
            PausableProxyFixture.Client client = proxy.new Client();
            for (int i = 1; i <= 200; i++) {
                client.sendWrite(Integer.toString(i), DEADLINE_MILLIS);
            }
            proxy.awaitSelectorThread();
            proxy.awaitOutstandingRequests(200);
            client.close();
            proxy.awaitSelectorThread();
            assertEquals(proxy.outstandingRequests(), 0);
        }
    }
}
