package crankwick.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import crankwick.routing.TestSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.RequestClass;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** State transitions of a single request. */
public class ActiveRequestTest {
    private static final long START = 1_000_000_000;
    private static final long KEY_TTL = 400_000;
    private static final long EXPIRES_AT = START + 1_000_000;
    private static final RequestClass KEYED_WRITE = TestSettings.keyedWrite(KEY_TTL, 3_000_000, 250_000, false)
            .requestClasses()
            .get(0);

    private TeamBudget budget;
    private ActiveRequest request;

    @BeforeMethod
    public void admitRequest() {
        budget = new TeamBudget(new Contract(Set.of(), 0, 1, 0), START);
        ClientRequest received = new ClientRequest(1, "1", "", 0, 0, 0, AbsentValue.NONE, 1_000_000, "k", 0);
        request = new ActiveRequest(received, KEYED_WRITE, budget, EXPIRES_AT, START);
    }

    private void beginAttempt(long now) {
        request.nextAttemptNumber();
        request.beginAttempt("a", now);
    }

    @Test
    public void atMostOneAttemptIsInFlight() {
        assertTrue(request.mayBeginAttempt(START));
        beginAttempt(START);
        assertTrue(request.isAttemptQueued());
        assertFalse(request.mayBeginAttempt(START));
        request.markAttemptWritten(START);
        assertTrue(request.isAttemptWritten());
        assertFalse(request.mayBeginAttempt(START));
        request.endAttempt(AttemptResult.REJECTED_OVERLOADED, START);
        assertFalse(request.isAttemptInFlight());
        assertTrue(request.mayBeginAttempt(START));
    }

    @Test
    public void onlyTheLastAttemptIsInFlight() {
        beginAttempt(START);
        request.endAttempt(AttemptResult.REJECTED_OVERLOADED, START);
        beginAttempt(START);
        assertFalse(request.isAttemptInFlight(0));
        assertTrue(request.isAttemptInFlight(1));
    }

    @Test
    public void completionReleasesTheBudgetAndPreventsFurtherAttempts() {
        assertTrue(budget.isOutstandingLimitReached());
        request.complete();
        assertFalse(budget.isOutstandingLimitReached());
        assertFalse(request.mayBeginAttempt(START));
        assertTrue(request.isFinished());
    }

    @Test
    public void completedRequestIsFinishedOnceItsAttemptHasEnded() {
        beginAttempt(START);
        request.complete();
        assertFalse(request.isFinished());
        request.endAttempt(AttemptResult.OK, START);
        assertTrue(request.isFinished());
    }

    @Test
    public void keyWindowBeginsWithTheFirstAttemptThatMayHaveExecuted() {
        beginAttempt(START);
        request.endAttempt(AttemptResult.UNREACHABLE, START);
        assertEquals(request.startDeadline(), EXPIRES_AT);
        beginAttempt(START + 1_000);
        request.endAttempt(AttemptResult.RESET, START + 2_000);
        beginAttempt(START + 3_000);
        request.endAttempt(AttemptResult.RESET, START + 4_000);
        assertEquals(request.startDeadline(), START + 1_000 + KEY_TTL);
    }

    @Test
    public void bufferedRequestIsRoutedOnceReleased() {
        request.buffer();
        assertTrue(request.isBuffered());
        request.release();
        assertFalse(request.isBuffered());
        assertFalse(request.isCompleted());
    }
}
