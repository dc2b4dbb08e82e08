package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import org.testng.annotations.Test;

/** Contents and rate limit of the log lines about requests. */
public class RequestHistoryTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final ClientRequest REQUEST =
            new ClientRequest(1, "a1", "", 3, 0, 0, AbsentValue.NONE, 5_000 * MICROS_PER_MILLI, "k1", 9);

    private static RequestHistory historyOfWrittenAttempt() {
        RequestHistory history = new RequestHistory(REQUEST, 10 * MICROS_PER_MILLI);
        history.recordSent("s-1", 12 * MICROS_PER_MILLI);
        history.recordWritten(13 * MICROS_PER_MILLI);
        return history;
    }

    @Test
    public void eachTransitionIsLoggedInMillisecondsSinceTheRequestWasReceived() {
        RequestHistory history = historyOfWrittenAttempt();
        history.recordAbandoned(AbandonReason.CLOSED, 107 * MICROS_PER_MILLI);
        history.recordEnded(AttemptResult.RESET, 439 * MICROS_PER_MILLI);
        history.recordSent("s-2", 440 * MICROS_PER_MILLI);
        assertEquals(
                history.toLogLine(),
                "request id=a1 class=3 client=CLOSED@97 attempts=2 [s-1 sent@2 written@3 RESET@429] [s-2 sent@430]");
    }

    @Test
    public void requestServedByItsFirstAttemptIsNotLogged() {
        RequestHistory history = historyOfWrittenAttempt();
        history.recordEnded(AttemptResult.OK, 20 * MICROS_PER_MILLI);
        history.recordReply(new Reply.Served(null, true, 0), 20 * MICROS_PER_MILLI);
        assertFalse(history.shouldLog());
    }

    @Test
    public void logLinesAreRateLimitedAndOmittedLinesAreCounted() {
        RequestHistoryLog log = new RequestHistoryLog();
        RequestHistory failed = historyOfWrittenAttempt();
        failed.recordReply(new Reply.Failed(Reply.Reason.NO_OUTCOME), 30 * MICROS_PER_MILLI);
        for (int i = 0; i < 20; i++) {
            assertEquals(log.logLineFor(failed, 2_000 * MICROS_PER_MILLI), failed.toLogLine());
        }
        assertNull(log.logLineFor(failed, 2_999 * MICROS_PER_MILLI));
        assertTrue(log.logLineFor(failed, 3_000 * MICROS_PER_MILLI).endsWith(" omitted_before=1"));
    }
}
