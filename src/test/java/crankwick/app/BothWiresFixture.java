package crankwick.app;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;

/**
 * Base class of the socket tests. Provides clients of both wire protocols, statements with unique request ids, and
 * assertions on the answers, which contain the request id.
 */
abstract class BothWiresFixture {
    private int lastId;

    /** The PostgreSQL and TDS clients. */
    @DataProvider
    public Object[][] wires() {
        return new Object[][] {{new PgTestClient()}, {new TdsTestClient()}};
    }

    /** Each of the two clients with each of the values. */
    final Object[][] wiresWith(Object[] values) {
        List<Object[]> all = new ArrayList<>();
        for (Object[] wire : wires()) {
            for (Object value : values) {
                all.add(new Object[] {wire[0], value});
            }
        }
        return all.toArray(Object[][]::new);
    }

    final String statement(String className, int deadlineMillis, String extraHints) {
        String key = className.equals("reserve") ? ",k=5c0f6e1a2b3d" + (lastId + 1) : "";
        return "/* id=" + ++lastId + ",c=" + className + ",d=" + deadlineMillis + key + ",cluster=0" + extraHints
                + " */ SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655'";
    }

    final String lastId() {
        return Integer.toString(lastId);
    }

    final void assertServedBy(TestWireClient.Answer answer, String server) {
        assertEquals(answer.value(), server + ":" + lastId(), answer.toString());
    }

    static void assertNoViolations(Deployment d) {
        assertEquals(d.attemptLog.violations, List.of());
        assertEquals(d.errorLines(), List.of(), d.log.toString());
    }
}
