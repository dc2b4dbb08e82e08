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
    private static final int SENDERS = 6;
    private static final int PACED_CLIENTS = 5;
    private static final int SENDING_MILLIS = Integer.getInteger("crankwick.fullSpeed.millis", 2_500);

    /** All combinations of protocol and kind of message. */
    @DataProvider
    public Object[][] kinds() {
        List<Object[]> all = new ArrayList<>();
        for (Object[] wire : wires()) {
            for (FullSpeedSender.Kind kind : FullSpeedSender.Kind.values()) {
                all.add(new Object[] {wire[0], kind});
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** Guards against answers that come late or never because other clients send at full speed. */
    @Test(dataProvider = "kinds")
    public void otherClientsAreAnsweredInTime(TestWireClient wire, FullSpeedSender.Kind kind) throws Exception {
        try (Deployment d = Deployment.onOneCore(wire)) {
            AtomicInteger ids = new AtomicInteger();
            List<PacedClient> paced = new ArrayList<>();
            List<FullSpeedSender> senders = new ArrayList<>();
            for (int i = 0; i < PACED_CLIENTS; i++) {
                paced.add(new PacedClient(d, ids));
            }
            Thread.sleep(500);
            for (int i = 0; i < SENDERS; i++) {
                senders.add(new FullSpeedSender(d, kind));
            }
            Thread.sleep(SENDING_MILLIS);
            paced.forEach(PacedClient::close);
            for (FullSpeedSender sender : senders) {
                sender.close();
            }
            String seen = wire.getClass().getSimpleName() + " " + kind + ": " + paced;
            System.out.println(seen);
            assertTrue(d.process.isAlive(), seen);
            assertTrue(d.log.stream().noneMatch(line -> line.contains("OutOfMemoryError")), seen);
            for (PacedClient client : paced) {
                assertTrue(client.answers > 0, seen);
                assertEquals(client.lost, 0, seen);
                assertTrue(client.late * 20 <= client.answers, seen);
            }
            assertNoViolations(d);
        }
    }
}
