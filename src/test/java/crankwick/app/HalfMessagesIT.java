package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients whose messages stay incomplete and fill the memory for them, beside others: the program on one core. */
public class HalfMessagesIT extends BothWiresFixture {
    private static final int CORE = 4;
    private static final int SOCKETS = 1_024;
    private static final int SENDERS = 100;
    private static final int SENT_CHARS = 90_000;
    private static final int OMITTED_BYTES = 1_000;
    private static final int PACED_CLIENTS = 3;
    private static final int LARGE_CHARS = 60_000;
    private static final int READS_AT_ONCE = 20;
    private static final int SENDING_MILLIS = 2_500;
    private static final int TRICKLE_MILLIS = 5;
    /** Bad clients are owed an error or a close in this time. */
    private static final long MAX_CLOSE_MILLIS = 3_000;

    /** What a sender does once its message lacks its end only. */
    private enum End {
        STAYS,
        /** Goes on with single bytes. */
        TRICKLES
    }

    /** All combinations of protocol and end. */
    @DataProvider
    public Object[][] ends() {
        return wiresWith(End.values());
    }

    private final AtomicLong maxCloseMillis = new AtomicLong();

    /** Guards against whole requests that are dropped because incomplete ones of others hold all the memory. */
    @Test(dataProvider = "ends")
    public void wholeRequestsOfOthersAreAnswered(TestWireClient wire, End end) throws Exception {
        maxCloseMillis.set(0);
        try (Deployment d = Deployment.onOneCore(wire, CORE, SOCKETS)) {
            AtomicInteger ids = new AtomicInteger(1 << 30);
            List<PacedClient> paced = new ArrayList<>();
            for (int i = 0; i < PACED_CLIENTS; i++) {
                paced.add(new PacedClient(d, ids, LARGE_CHARS));
            }
            paced.add(PacedClient.pipelining(d, ids, READS_AT_ONCE));
            Thread.sleep(300);
            ClientCrowd senders = new ClientCrowd(d, SENDERS, (crowd, socket) -> sendHalf(crowd, d, socket, end));
            Thread.sleep(SENDING_MILLIS);
            senders.stop();
            paced.forEach(PacedClient::close);
            String seen = wire.getClass().getSimpleName() + " " + end + ": " + paced + ", senders closed after "
                    + maxCloseMillis + " ms at most " + ProxyProcess.lateLines(d.log) + " " + d.terminate();
            System.out.println(seen);
            assertTrue(maxCloseMillis.get() <= MAX_CLOSE_MILLIS, seen);
            for (PacedClient client : paced) {
                assertTrue(client.served > 0, seen);
                assertEquals(client.lost, 0, seen);
            }
            assertEquals(d.errorLines(), List.of());
        }
    }

    private void sendHalf(ClientCrowd crowd, Deployment d, Socket socket, End end)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        socket.getOutputStream().write(d.wire.encodeCommand("x".repeat(SENT_CHARS), OMITTED_BYTES));
        while (!crowd.isStopped()
                && end == End.TRICKLES
                && socket.getInputStream().available() == 0) {
            socket.getOutputStream().write('x');
            Thread.sleep(TRICKLE_MILLIS);
        }
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        if (!crowd.isStopped()) {
            maxCloseMillis.accumulateAndGet(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos), Math::max);
        }
    }
}
