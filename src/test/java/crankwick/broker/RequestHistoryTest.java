package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import org.testng.annotations.Test;

/** What the log says of a request, and how often. */
public class RequestHistoryTest {
    private static final long MS = 1_000;
    private static final ClientRequest CALL =
            new ClientRequest(1, "a1", "", 3, 0, 0, AbsentValue.NONE, 5_000 * MS, "k1", 9);

    private static RequestHistory sentOnce() {
        RequestHistory history = new RequestHistory(CALL, 10 * MS);
        history.sent("s-1", 12 * MS);
        history.written(13 * MS);
        return history;
    }

    @Test
    public void eachTransitionIsToldInMillisecondsSinceTheRequestWasTaken() {
        RequestHistory history = sentOnce();
        history.abandoned(AbandonReason.CLOSED, 107 * MS);
        history.ended(AttemptResult.RESET, 439 * MS);
        history.sent("s-2", 440 * MS);
        assertEquals(
                history.line(),
                "request id=a1 class=3 client=CLOSED@97 attempts=2 [s-1 sent@2 written@3 RESET@429] [s-2 sent@430]");
    }

    @Test
    public void whatTheFirstAttemptServesIsNotNotable() {
        RequestHistory history = sentOnce();
        history.ended(AttemptResult.OK, 20 * MS);
        history.answered(new Reply.Served(null, true, 0), 20 * MS);
        assertFalse(history.isNotable());
    }

    @Test
    public void linesAreLimitedAndThoseLeftOutAreCounted() {
        RequestHistoryLog log = new RequestHistoryLog();
        RequestHistory failed = sentOnce();
        failed.answered(new Reply.Failed(Reply.Reason.NO_OUTCOME), 30 * MS);
        for (int i = 0; i < 20; i++) {
            assertEquals(log.lineFor(failed, 2_000 * MS), failed.line());
        }
        assertNull(log.lineFor(failed, 2_999 * MS));
        assertTrue(log.lineFor(failed, 3_000 * MS).endsWith(" omitted_before=1"));
    }
}
