package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import org.testng.annotations.Test;

/** What the log states about a request, and how often. */
public class RequestHistoryTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final ClientRequest REQUEST =
            new ClientRequest(1, "a1", "", 3, 0, 0, AbsentValue.NONE, 5_000 * MICROS_PER_MILLI, "k1", 9);

    private static RequestHistory sentOnce() {
        RequestHistory history = new RequestHistory(REQUEST, 10 * MICROS_PER_MILLI);
        history.sent("s-1", 12 * MICROS_PER_MILLI);
        history.written(13 * MICROS_PER_MILLI);
        return history;
    }

    @Test
    public void eachTransitionIsLoggedInMillisecondsSinceTheRequestWasReceived() {
        RequestHistory history = sentOnce();
        history.abandoned(AbandonReason.CLOSED, 107 * MICROS_PER_MILLI);
        history.ended(AttemptResult.RESET, 439 * MICROS_PER_MILLI);
        history.sent("s-2", 440 * MICROS_PER_MILLI);
        assertEquals(
                history.line(),
                "request id=a1 class=3 client=CLOSED@97 attempts=2 [s-1 sent@2 written@3 RESET@429] [s-2 sent@430]");
    }

    @Test
    public void requestServedByItsFirstAttemptIsNotNotable() {
        RequestHistory history = sentOnce();
        history.ended(AttemptResult.OK, 20 * MICROS_PER_MILLI);
        history.answered(new Reply.Served(null, true, 0), 20 * MICROS_PER_MILLI);
        assertFalse(history.isNotable());
    }

    @Test
    public void linesAreLimitedAndOmittedOnesAreCounted() {
        RequestHistoryLog log = new RequestHistoryLog();
        RequestHistory failed = sentOnce();
        failed.answered(new Reply.Failed(Reply.Reason.NO_OUTCOME), 30 * MICROS_PER_MILLI);
        for (int i = 0; i < 20; i++) {
            assertEquals(log.lineFor(failed, 2_000 * MICROS_PER_MILLI), failed.line());
        }
        assertNull(log.lineFor(failed, 2_999 * MICROS_PER_MILLI));
        assertTrue(log.lineFor(failed, 3_000 * MICROS_PER_MILLI).endsWith(" omitted_before=1"));
    }
}
