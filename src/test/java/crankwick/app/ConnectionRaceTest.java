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
            PausableProxyFixture.Hold hold = proxy.hold();
            proxy.loop.execute(() -> proxy.front.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.write("1", WAIT_MS);
            hold.release();
            assertEquals(client.answer(), "Served primary:1");
            assertNull(client.answer());
        }
    }

    /** Guards against a request that wants more time than is left being still open at the end. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void whoWaitsLongerThanTheProxyHasIsAnsweredBeforeItsEnd() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.word = "SILENT";
            client.write("1", 20_000);
            while (proxy.ledger.sent("1") == 0) {
                Thread.sleep(1);
            }
            long latest = proxy.clock.now() + 500 * PausableProxyFixture.MS;
            proxy.onLoop(() -> proxy.front.beginShutdown(latest));
            assertEquals(client.answer(), "Failed");
            assertNull(client.answer());
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
            PausableProxyFixture.Hold hold = proxy.hold();
            Thread.sleep(2_500);
            client.write("1", WAIT_MS);
            hold.release();
            assertEquals(client.answer(), "Served primary:1");
            assertNull(other.answer());
        }
    }

    /** An idle connection is to make room for a new one, and its command has just been read. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadAsItsConnectionMakesRoomIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(1);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.Hold hold = proxy.hold();
            proxy.awaitReader();
            client.write("1", WAIT_MS);
            hold.release();
            assertEquals(client.answer(), "Served primary:1");
        }
    }

    /** Half a command has been read when the proxy closes: its other half comes, and then its answer. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandReadInHalfAsTheProxyClosesIsAnswered() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.Hold hold = proxy.hold();
            client.begin("/* id=1,c=write,d=5000,k=k1,clus");
            proxy.awaitReader();
            hold.release();
            proxy.onLoop(() -> proxy.front.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.send("ter=0 */ INSERT");
            assertEquals(client.answer(), "Served primary:1");
            assertNull(client.answer());
        }
    }

    /** The connection to the database is up; the client has closed, which the loop has not heard yet. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void nothingIsWrittenForAClientThatHasJustClosed() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client other = proxy.new Client()) {
            PausableProxyFixture.Client leaver = proxy.new Client();
            PausableProxyFixture.Hold beforeGreeting = greetedWhileHeld(proxy, leaver);
            PausableProxyFixture.Hold beforeClose = proxy.queueHold();
            leaver.close();
            letGreetingPass(proxy, beforeGreeting, beforeClose);
            other.write("2", WAIT_MS);
            assertEquals(other.answer(), "Served primary:2");
            assertEquals(proxy.ledger.sent("1"), 0, proxy.ledger.seen.toString());
        }
    }

    /** The same of a client that cancels its command and stays. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void nothingIsWrittenForACommandThatHasJustBeenCancelled() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.Hold beforeGreeting = greetedWhileHeld(proxy, client);
            PausableProxyFixture.Hold beforeCancel = proxy.queueHold();
            client.send(LineProtocolCodec.CANCEL);
            letGreetingPass(proxy, beforeGreeting, beforeCancel);
            assertEquals(client.answer(), "CancelAcknowledged");
            client.write("2", WAIT_MS);
            assertEquals(client.answer(), "Served primary:2");
            assertEquals(proxy.ledger.sent("1"), 0, proxy.ledger.seen.toString());
        }
    }

    /** A write of id 1 waits for its connection, whose greeting is behind the held loop when this returns. */
    private static PausableProxyFixture.Hold greetedWhileHeld(
            PausableProxyFixture proxy, PausableProxyFixture.Client client) throws Exception {
        proxy.database.greeting = new CountDownLatch(1);
        client.write("1", WAIT_MS);
        while (proxy.database.opened.get() == 0) {
            Thread.sleep(1);
        }
        PausableProxyFixture.Hold hold = proxy.hold();
        proxy.database.greeting.countDown();
        while (proxy.database.greeted.get() == 0) {
            Thread.sleep(1);
        }
        proxy.awaitReader();
        return hold;
    }

    /** The reader has seen the client go when the loop hears of the greeting; the loop hears of it after. */
    private static void letGreetingPass(
            PausableProxyFixture proxy, PausableProxyFixture.Hold beforeGreeting, PausableProxyFixture.Hold beforeEnd)
            throws Exception {
        proxy.awaitReader();
        beforeGreeting.release();
        beforeEnd.await();
        proxy.awaitReader();
        beforeEnd.release();
    }

    /** A repeat's connection comes up after the window in which databases discard repeats. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void repeatIsNotWrittenOnceItsKeysWindowIsOver() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.word = "BREAK";
            proxy.database.delayMs = 200;
            client.write("1", WAIT_MS);
            while (proxy.ledger.sent("1") == 0) {
                Thread.sleep(1);
            }
            proxy.database.greeting = new CountDownLatch(1);
            int opened = proxy.database.opened.get();
            while (proxy.database.opened.get() == opened) {
                Thread.sleep(1);
            }
            Thread.sleep(PausableProxyFixture.KEY_TTL / PausableProxyFixture.MS);
            proxy.database.word = "VALUE";
            proxy.database.greeting.countDown();
            assertEquals(client.answer(), "Failed");
            assertEquals(proxy.ledger.sent("1"), 1, proxy.ledger.seen.toString());
        }
    }

    /** The time that a database is told counts from when the command was read, however late the loop is. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void lateLoopLeavesADatabaseLessTime() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            PausableProxyFixture.Hold hold = proxy.hold();
            client.write("1", WAIT_MS);
            Thread.sleep(400);
            hold.release();
            assertEquals(client.answer(), "Served primary:1");
            String told = proxy.ledger.seen.get(0).statement().replaceAll(".*,d=(\\d+),.*", "$1");
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
            other.write("1", WAIT_MS);
            assertEquals(other.answer(), "Served primary:1");
            Thread.sleep(100);
            PausableProxyFixture.Client leaver = proxy.new Client();
            PausableProxyFixture.Hold hold = proxy.hold();
            leaver.write("2", WAIT_MS);
            other.send(LineProtocolCodec.HOLD_READER);
            leaver.close();
            Thread.sleep(100);
            hold.release();
            proxy.onLoop(() -> {});
            proxy.wire.readerReleased.countDown();
            other.write("3", WAIT_MS);
            assertEquals(other.answer(), "Served primary:3");
            assertEquals(proxy.ledger.sent("2"), 0, proxy.ledger.seen.toString());
        }
    }

    /** An idle connection is to end; its command has arrived while the thread that reads was held up. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandThatArrivesWhileTheReaderIsHeldUpIsAnsweredAsTheProxyCloses() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            other.send(LineProtocolCodec.HOLD_READER);
            proxy.onLoop(() -> proxy.front.beginShutdown(proxy.clock.now() + WAIT_MS * PausableProxyFixture.MS));
            client.begin("/* id=1,c=write,d=5000,k=k1,cluster=0 */ INSERT\n");
            Thread.sleep(100);
            proxy.wire.readerReleased.countDown();
            assertEquals(client.answer(), "Served primary:1");
            assertNull(client.answer());
        }
    }

    /** A command's other half has arrived while the thread that reads was held up: the client does not stall. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandWhoseEndHasArrivedIsNoStall() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            client.begin("/* id=1,c=write,d=5000,k=k1,clus");
            proxy.awaitReader();
            other.send(LineProtocolCodec.HOLD_READER);
            client.begin("ter=0 */ INSERT\n");
            Thread.sleep(2_500);
            proxy.wire.readerReleased.countDown();
            assertEquals(client.answer(), "Served primary:1");
        }
    }

    /** The same of a database's answer: its attempt is not given up, and not made again. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void answerWhoseEndHasArrivedIsNoStall() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.word = "HALVES";
            client.write("1", WAIT_MS);
            while (proxy.ledger.sent("1") == 0) {
                Thread.sleep(1);
            }
            PausableProxyFixture.Hold hold = proxy.hold();
            proxy.database.halves.release();
            Thread.sleep(50);
            proxy.awaitReader();
            other.send(LineProtocolCodec.HOLD_READER);
            proxy.database.halves.release();
            Thread.sleep(400);
            hold.release();
            Thread.sleep(200);
            proxy.wire.readerReleased.countDown();
            assertEquals(client.answer(), "Served primary:1");
            assertEquals(proxy.ledger.sent("1"), 1, proxy.ledger.seen.toString());
        }
    }

    /** A database's greeting has arrived in time, while the thread that reads was held up. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void greetingThatHasArrivedIsInTime() throws Exception {
        int timeoutMs = 500;
        try (PausableProxyFixture proxy = new PausableProxyFixture(10, timeoutMs * PausableProxyFixture.MS);
                PausableProxyFixture.Client client = proxy.new Client();
                PausableProxyFixture.Client other = proxy.new Client()) {
            proxy.database.greeting = new CountDownLatch(1);
            PausableProxyFixture.Hold hold = greetedWhileHeldUp(proxy, client, other);
            Thread.sleep(2 * timeoutMs);
            hold.release();
            Thread.sleep(100);
            proxy.wire.readerReleased.countDown();
            assertEquals(client.answer(), "Served primary:1");
            assertEquals(proxy.database.opened.get(), 1);
        }
    }

    /** A write of id 1 waits for its connection, whose greeting is before the held reader when this returns. */
    private static PausableProxyFixture.Hold greetedWhileHeldUp(
            PausableProxyFixture proxy, PausableProxyFixture.Client client, PausableProxyFixture.Client other)
            throws Exception {
        client.write("1", WAIT_MS);
        while (proxy.database.opened.get() == 0) {
            Thread.sleep(1);
        }
        proxy.awaitReader();
        proxy.onLoop(() -> {});
        PausableProxyFixture.Hold hold = proxy.hold();
        other.send(LineProtocolCodec.HOLD_READER);
        proxy.database.greeting.countDown();
        return hold;
    }

    /** However many commands a client sends behind one that waits: each has its answer, in its turn. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void commandsBeyondTheLimitAreRefusedInTheirPlaces() throws Exception {
        int more = 200_000;
        try (PausableProxyFixture proxy = new PausableProxyFixture(10);
                PausableProxyFixture.Client client = proxy.new Client()) {
            proxy.database.word = "SILENT";
            client.write("1", 2_000);
            client.begin("\n".repeat(more));
            assertEquals(client.answer(), "Failed");
            int nothing = 0;
            int refused = 0;
            for (int i = 0; i < more; i++) {
                String answer = client.answer();
                assertTrue(answer.equals("EmptyQueryResponse") || answer.equals("Rejected"), i + ": " + answer);
                nothing += answer.equals("EmptyQueryResponse") ? 1 : 0;
                refused += answer.equals("Rejected") ? 1 : 0;
            }
            assertEquals(nothing + refused, more);
            assertTrue(nothing >= 1_023, nothing + " of those behind the first are within the limit");
            assertTrue(proxy.front.counters().contains(" open_bytes=0"), proxy.front.counters());
        }
    }

    /** The same client goes instead: its close is seen behind all that it has sent. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void closeBehindCommandsBeyondTheLimitIsSeen() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.word = "SILENT";
            PausableProxyFixture.Client client = proxy.new Client();
            client.write("1", WAIT_MS);
            client.begin("\n".repeat(200_000));
            client.close();
            long from = System.nanoTime();
            while (proxy.owed() > 0) {
                Thread.sleep(1);
            }
            assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(WAIT_MS / 2));
            assertTrue(proxy.front.counters().contains(" open_bytes=0"), proxy.front.counters());
        }
    }

    /** Guards against reading so little ahead that a client's close behind its commands is not seen. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void closeBehindManyUnansweredCommandsIsSeen() throws Exception {
        try (PausableProxyFixture proxy = new PausableProxyFixture(10)) {
            proxy.database.word = "SILENT";
            PausableProxyFixture.Client client = proxy.new Client();
            for (int i = 1; i <= 200; i++) {
                client.write(Integer.toString(i), WAIT_MS);
            }
            proxy.awaitReader();
            assertEquals(proxy.owed(), 200);
            client.close();
            proxy.awaitReader();
            assertEquals(proxy.owed(), 0);
        }
    }
}
