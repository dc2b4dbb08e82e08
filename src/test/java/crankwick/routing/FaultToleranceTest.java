package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests selection, ejection and retries when endpoints lose responses. */
class FaultToleranceTest {
    @Test
    void repeatedTimeoutsLowerTheSelectionWeight() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        for (int i = 0; i < 4; i++) {
            harness.handle(new HealthCheckResult("r1", AttemptResult.TIMEOUT, 250 * MICROS_PER_MILLI, null));
        }
        harness.reportHealth("r1", Role.REPLICA, harness.now);
        harness.reportHealth("r2", Role.REPLICA, harness.now);
        int readsSentToR1 = 0;
        for (int i = 0; i < 100; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            readsSentToR1 += "r1".equals(harness.sentTo(read)) ? 1 : 0;
            harness.succeed(read);
        }
        assertTrue(readsSentToR1 < 20, "r1 got " + readsSentToR1 + " of 100 reads");
    }

    @Test
    void singleTimeoutDoesNotEject() {
        RouterTestHarness harness = RouterTestHarness.withProxyCount(300);
        harness.autoRespondToHealthChecks("r1", Role.REPLICA);
        harness.autoRespondToHealthChecks("r2", Role.REPLICA);
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        harness.advance(1_900 * MICROS_PER_MILLI);
        harness.endAttempt(read, AttemptResult.TIMEOUT, Role.UNKNOWN, AbsentValue.NONE);
        assertFalse(harness.actions.stream().anyMatch(a -> a.contains("ejected")));
    }

    @Test
    void lostReadsAreRetriedWithinBudgetAndWritesAreNotRetried() {
        // If most endpoints lose responses but pass health checks, waiting for a response misses the latency objective.
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        for (String endpoint : List.of("r1", "r2")) {
            harness.autoRespondToHealthChecks(endpoint, Role.REPLICA);
        }
        harness.autoRespondToHealthChecks("p", Role.PRIMARY);
        for (int i = 0; i < 300; i++) {
            harness.succeed(harness.request(RouterTestHarness.EVENTUAL_READ));
            harness.now += 20 * MICROS_PER_MILLI;
        }
        long write = harness.request(RouterTestHarness.WRITE);
        int cancelledReads = 0;
        for (int i = 0; i < 80; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            for (int step = 0; step < 80 && !harness.isCancelled(read); step++) {
                harness.advance(5 * MICROS_PER_MILLI);
            }
            if (harness.isCancelled(read)) {
                cancelledReads++;
                harness.endAttempt(read, AttemptResult.CANCELLED, Role.UNKNOWN, AbsentValue.NONE);
                harness.advance(40 * MICROS_PER_MILLI);
                assertEquals(2, harness.attempts(read));
            }
            harness.endAttempt(read, AttemptResult.OK, Role.UNKNOWN, AbsentValue.NONE);
        }
        assertTrue(cancelledReads > 10 && cancelledReads <= 30 + 80 / 4, "cancelled reads: " + cancelledReads);
        assertFalse(harness.isCancelled(write));
        assertEquals(1, harness.attempts(write));
        assertFalse(harness.actions.stream().anyMatch(a -> a.contains("ejected")));
    }
}
