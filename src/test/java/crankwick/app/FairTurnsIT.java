package crankwick.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that send the same again as soon as it is answered, beside others: the program on one core. */
public class FairTurnsIT extends BothWiresFixture {
    private static final int CORE = 3;
    private static final int SOCKETS = 1_024;
    private static final int RESENDERS = 150;
    private static final int RESENDING_MILLIS = Integer.getInteger("crankwick.fairTurns.millis", 1_500);
    private static final int LARGE_CHARS = 20_000;
    private static final int LARGEST_CHARS = 100_000;
    private static final int READS_AT_ONCE = 60;

    /** What the resending clients send. */
    private enum Resent {
        SMALL(0, false),
        MEDIUM(1_700, false),
        /** More than one read of the proxy. */
        LARGE(20_000, false),
        /** Each message on a new connection. */
        SMALL_ON_NEW_CONNECTIONS(0, true);

        private final int hintChars;
        private final boolean reconnects;

        Resent(int hintChars, boolean reconnects) {
            this.hintChars = hintChars;
            this.reconnects = reconnects;
        }
    }

    /** All combinations of protocol and message. */
    @DataProvider
    public Object[][] resent() {
        return wiresWith(Resent.values());
    }

    /** Guards against large or pipelined requests that wait without end while others send again at once. */
    @Test(dataProvider = "resent")
    public void largeAndPipelinedRequestsAreAnswered(TestWireClient wire, Resent resent) throws Exception {
        try (Deployment d = Deployment.onOneCore(wire, CORE, SOCKETS)) {
            ClientCrowd resenders = new ClientCrowd(d, RESENDERS, (crowd, socket) -> resend(crowd, d, socket, resent));
            Thread.sleep(500);
            AtomicInteger ids = new AtomicInteger(1 << 30);
            List<PacedClient> paced = List.of(
                    new PacedClient(d, ids),
                    new PacedClient(d, ids, LARGE_CHARS),
                    new PacedClient(d, ids, LARGEST_CHARS),
                    PacedClient.pipelining(d, ids, READS_AT_ONCE));
            Thread.sleep(RESENDING_MILLIS);
            resenders.stop();
            paced.forEach(PacedClient::close);
            String seen = wire.getClass().getSimpleName() + " " + resent + ": " + paced + " "
                    + ProxyProcess.lateLines(d.log) + " " + d.terminate();
            System.out.println(seen);
            for (PacedClient client : paced) {
                assertTrue(client.answers > 0, seen);
                assertEquals(client.lost, 0, seen);
            }
            assertEquals(d.errorLines(), List.of());
        }
    }

    private static void resend(ClientCrowd crowd, Deployment d, Socket socket, Resent resent) throws IOException {
        String statement = "/* id=1,c=nope,d=1000,cluster=0" + ",a=1".repeat(resent.hintChars / 4) + " */ SELECT 1";
        DataInputStream in = new DataInputStream(socket.getInputStream());
        do {
            d.wire.send(socket, statement);
            d.wire.readAnswer(in);
        } while (!crowd.isStopped() && !resent.reconnects);
    }
}
