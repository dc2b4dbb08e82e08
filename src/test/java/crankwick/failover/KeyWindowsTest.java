package crankwick.failover;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.routing.TestSettings;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.RequestClass;
import java.util.HashMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The end of the window within which a key that may have executed may be sent again. */
public class KeyWindowsTest {
    private static final long START = 1_000_000_000;
    private static final long KEY_TTL = 400_000;
    private static final long KEY_MARGIN = FailoverSettings.DEFAULT.keyMargin();
    private static final RequestClass KEYED_WRITE = TestSettings.keyedWrite(KEY_TTL, 3_000_000, 250_000, false)
            .requestClasses()
            .get(0);

    private KeyWindows keys;

    @BeforeMethod
    public void createKeyWindows() {
        keys = new KeyWindows(FailoverSettings.DEFAULT, 1);
    }

    private TrackedRequest request(long requestId) {
        IncomingRequest incomingRequest = new IncomingRequest(requestId, 1, "team", 0, "key", 0, START + 3_000_000);
        GroupState group = new GroupState(1, FailoverSettings.DEFAULT, new HashMap<>());
        return new TrackedRequest(incomingRequest, KEYED_WRITE, group, keys.hash(1, "key"), START + 3_000_000);
    }

    @Test
    public void keyWindowEndsOneMarginEarly() {
        TrackedRequest request = request(1);
        assertTrue(keys.recordAttempt(request, START));
        keys.recordResult(request, AttemptResult.RESET, START + 1);
        long end = START + KEY_TTL - KEY_MARGIN;
        assertFalse(keys.isExpired(request, end - 1));
        assertTrue(keys.isExpired(request, end));
    }

    @Test
    public void attemptProvenNotExecutedStartsNoWindow() {
        TrackedRequest request = request(1);
        assertTrue(keys.recordAttempt(request, START));
        keys.recordResult(request, AttemptResult.REJECTED_OVERLOADED, START + 1);
        assertFalse(request.mayHaveExecuted());
        assertFalse(keys.isExpired(request, START + KEY_TTL));
    }

    /** The earlier request's attempt is still in flight and may have executed. */
    @Test
    public void rejectedRetryDoesNotClearTheUnknownOutcomeOfAnEarlierAttempt() {
        assertTrue(keys.recordAttempt(request(1), START));
        TrackedRequest retry = request(2);
        assertTrue(keys.recordAttempt(retry, START + 1));
        keys.recordResult(retry, AttemptResult.REJECTED_OVERLOADED, START + 2);
        assertTrue(retry.mayHaveExecuted());
        assertTrue(retry.hasUnknownOutcome());
    }
}
