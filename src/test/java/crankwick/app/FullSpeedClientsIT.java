package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that send at full speed, beside others: the program as a process on one core, with its usual heap. */
public class FullSpeedClientsIT extends BothWiresFixture {
    private static final int CORE = 0;
    private static final int SENDERS = 6;
    private static final int PACED_CLIENTS = 5;
    /** A tenth of the heap: what clients take is free again once they have left. */
    private static final long MAX_RETAINED_KILOBYTES = 4_800;

    private static final int SENDING_MILLIS = Integer.getInteger("crankwick.fullSpeed.millis", 1_500);
    /** Long enough for the requests of this time, if none were released, to exceed the limit on retained memory. */
    private static final int SENDING_LONG_DEADLINES_MILLIS = 8_000;

    /** All combinations of protocol and kind of message. */
    @DataProvider
    public Object[][] kinds() {
        return wiresWith(FullSpeedSender.Kind.values());
    }

    /** Guards against late or lost answers, and memory that grows, while other clients send at full speed. */
    @Test(dataProvider = "kinds")
    public void otherClientsAreAnsweredInTime(TestWireClient wire, FullSpeedSender.Kind kind) throws Exception {
        try (Deployment d = Deployment.onOneCore(wire, CORE, Deployment.DEFAULT_SOCKETS)) {
            AtomicInteger ids = new AtomicInteger();
            List<PacedClient> paced = new ArrayList<>();
            List<FullSpeedSender> senders = new ArrayList<>();
            for (int i = 0; i < PACED_CLIENTS; i++) {
                paced.add(new PacedClient(d, ids));
            }
            Thread.sleep(500);
            long heapBefore = ProxyProcess.liveHeapKilobytes(d.process);
            for (int i = 0; i < SENDERS; i++) {
                senders.add(new FullSpeedSender(d, kind));
            }
            boolean longDeadlines = kind == FullSpeedSender.Kind.READS_OF_NEW_GROUPS;
            Thread.sleep(longDeadlines ? SENDING_LONG_DEADLINES_MILLIS : SENDING_MILLIS);
            paced.forEach(PacedClient::close);
            for (FullSpeedSender sender : senders) {
                sender.close();
            }
            Thread.sleep(500);
            long retained = ProxyProcess.liveHeapKilobytes(d.process) - heapBefore;
            String seen = wire.getClass().getSimpleName() + " " + kind + ": " + paced + " " + retained + " KB retained "
                    + ProxyProcess.lateLines(d.log)
                    + paced.stream().map(PacedClient::trace).toList();
            System.out.println(seen);
            assertTrue(d.process.isAlive(), seen);
            assertTrue(d.log.stream().noneMatch(line -> line.contains("OutOfMemoryError")), seen);
            assertTrue(retained < MAX_RETAINED_KILOBYTES, seen);
            for (PacedClient client : paced) {
                assertTrue(client.answers > 0, seen);
                assertEquals(client.lost, 0, seen);
                assertTrue(client.late * 20 <= client.answers, seen);
            }
            assertNoViolations(d);
        }
    }
}
