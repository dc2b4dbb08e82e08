package crankwick.app;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;

/** What the checks on sockets share: both wires, and requests whose numbers tell whose answer it is. */
abstract class BothWiresFixture {
    private int ids;

    /** Both wires. */
    @DataProvider
    public Object[][] wires() {
        return new Object[][] {{new PgTestClient()}, {new TdsTestClient()}};
    }

    final String statement(String className, int wait, String more) {
        String key = className.equals("reserve") ? ",k=5c0f6e1a2b3d" + (ids + 1) : "";
        return "/* id=" + ++ids + ",c=" + className + ",d=" + wait + key + ",cluster=0" + more
                + " */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'";
    }

    final String lastId() {
        return Integer.toString(ids);
    }

    final void assertServedBy(TestWireClient.Answer answer, String server) {
        assertEquals(answer.value(), server + ":" + lastId(), answer.toString());
    }

    static void assertNoViolations(Deployment d) {
        assertEquals(d.attemptLog.violations, List.of());
        assertEquals(d.errorLines(), List.of(), d.log.toString());
    }
}
