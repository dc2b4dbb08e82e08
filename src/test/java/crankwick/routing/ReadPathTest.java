package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.StaleReadPolicy;
import crankwick.routing.api.TimerFired;
import org.junit.jupiter.api.Test;

/** Routing of reads: consistency levels, sources of session tokens, and queueing. */
class ReadPathTest {

    @Test
    void sessionReadGoesToReplicaThatReachedItsToken() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        harness.reportHealth("r2", Role.REPLICA, commit);
        long read = harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        assertEquals("r2", harness.sentTo(read));
    }

    @Test
    void replicaOneMicrosecondBehindTheTokenDoesNotServe() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        harness.reportHealth("r2", Role.REPLICA, commit - 1);
        assertNull(harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE)));
    }

    @Test
    void knownPositionNeverDecreases() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        harness.reportHealth("r1", Role.REPLICA, commit);
        harness.reportHealth("r1", Role.REPLICA, commit - 500 * MICROS_PER_MILLI);
        assertEquals("r1", harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE)));
    }

    @Test
    void sessionTokenDoesNotApplyToOtherSessions() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.commitWrite(5, harness.now);
        assertNotEquals("p", harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 6, AbsentValue.NONE)));
    }

    @Test
    void carriedTokenIsRequestTimeMinusTokenAge() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.sessionTokensCarried = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        long reportedPosition = harness.now + 10 * MICROS_PER_MILLI;
        harness.reportHealth("r1", Role.REPLICA, reportedPosition);
        harness.now = reportedPosition + 40 * MICROS_PER_MILLI;
        assertNull(harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, 40 * MICROS_PER_MILLI - 1)));
        assertEquals("r1", harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 6, 40 * MICROS_PER_MILLI)));
        assertTrue(harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 7, 0))
                .startsWith("r"));
    }

    @Test
    void requiredPositionOfBoundedReadAdvancesWithTime() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long reportedPosition = harness.now;
        harness.reportHealth("r1", Role.REPLICA, reportedPosition);
        harness.reportHealth("r2", Role.REPLICA, reportedPosition);
        harness.now = reportedPosition + 1_500 * MICROS_PER_MILLI;
        harness.reportHealth("r1", Role.REPLICA, reportedPosition);
        assertTrue(
                harness.sentTo(harness.request(RouterTestHarness.BOUNDED_READ)).startsWith("r"));
        harness.now++;
        assertNull(harness.sentTo(harness.request(RouterTestHarness.BOUNDED_READ)));
    }

    @Test
    void positionInAResponseIsUsedLikeAReportedPosition() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.responsesCarryPosition = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        long eventualRead = harness.request(RouterTestHarness.EVENTUAL_READ);
        String endpoint = harness.sentTo(eventualRead);
        harness.endAttempt(eventualRead, AttemptResult.OK, Role.REPLICA, commit + 1);
        assertEquals(endpoint, harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE)));
    }

    @Test
    void replicaOfUnknownPositionServesOnlyEventualReads() {
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        harness.addEndpoints("r1", "r2");
        assertNull(harness.sentTo(harness.request(RouterTestHarness.BOUNDED_READ)));
        assertTrue(
                harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)).startsWith("r"));
    }

    @Test
    void strongReadsAndWritesGoToThePrimaryOnly() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.STRONG_READ)));
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.WRITE)));
    }

    @Test
    void readThatNoReplicaCanServeIsRejectedWithRetryAfter() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.commitWrite(5, harness.now + 10_000 * MICROS_PER_MILLI);
        long read = harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        for (int i = 0; i < 30; i++) {
            harness.advance(25 * MICROS_PER_MILLI);
            for (String endpoint : new String[] {"p", "r1", "r2"}) {
                if (harness.actions.removeIf(a -> a.equals("check " + endpoint))) {
                    harness.handle(new HealthCheckResult(
                            endpoint,
                            AttemptResult.OK,
                            MICROS_PER_MILLI,
                            new LoadReport(harness.now, endpoint.equals("p") ? Role.PRIMARY : Role.REPLICA, 0, 0, 0)));
                }
            }
        }
        assertNull(harness.sentTo(read));
        assertTrue(harness.isRejected(read));
        assertTrue(harness.actions.contains("retry-after " + read + " true"));
    }

    @Test
    void queuedReadIsReleasedByTheNextHealthCheck() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        long read = harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        assertNull(harness.sentTo(read));
        harness.reportHealth("r1", Role.REPLICA, commit + 1);
        assertEquals("r1", harness.sentTo(read));
    }

    @Test
    void queuedReadsShareOneHealthCheck() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.commitWrite(5, harness.now);
        for (int i = 0; i < 20; i++) {
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        }
        harness.actions.removeIf(a -> a.startsWith("check"));
        harness.advance(70 * MICROS_PER_MILLI);
        long checks = harness.actions.stream().filter(a -> a.equals("check r1")).count();
        assertTrue(checks <= 1, "one health check is in flight, regardless of the number of queued reads");
    }

    @Test
    void replicaFarBehindIsCheckedAtTheLongInterval() {
        // Incident ia21758: when every replica lagged by seconds, frequent health checks cost a tenth of the service.
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        harness.commitWrite(5, harness.now + 5_000 * MICROS_PER_MILLI);
        harness.actions.clear();
        harness.handle(new TimerFired(2));
        int checks = 0;
        for (int i = 0; i < 16; i++) {
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
            harness.advance(25 * MICROS_PER_MILLI);
            if (harness.actions.removeIf(a -> a.equals("check r1"))) {
                checks++;
                harness.handle(new HealthCheckResult(
                        "r1",
                        AttemptResult.OK,
                        MICROS_PER_MILLI,
                        new LoadReport(harness.now - 5_000 * MICROS_PER_MILLI, Role.REPLICA, 0, 0, 0)));
            }
        }
        assertTrue(checks >= 1 && checks <= 3, "health checks in 400 ms: " + checks);
    }

    @Test
    void releasedReadsAreLimitedByTheConcurrencyLimit() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long commit = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(5, commit);
        for (int i = 0; i < 40; i++) {
            harness.request(RouterTestHarness.SESSION_READ, 5, AbsentValue.NONE);
        }
        long before = harness.actions.stream()
                .filter(a -> a.endsWith(" r1") && a.startsWith("send"))
                .count();
        harness.reportHealth("r1", Role.REPLICA, commit);
        long after = harness.actions.stream()
                .filter(a -> a.endsWith(" r1") && a.startsWith("send"))
                .count();
        assertTrue(after - before > 0 && after - before < 20, "released reads: " + (after - before));
    }

    @Test
    void readIsRequeuedAfterAnIneligibleReplicaWithSmallLag() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.staleReadPolicy = StaleReadPolicy.REJECT;
        settings.sessionTokensCarried = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.now += 100 * MICROS_PER_MILLI;
        harness.reportHealth("r1", Role.REPLICA, harness.now - 20 * MICROS_PER_MILLI);
        harness.reportHealth("r2", Role.REPLICA, harness.now - 20 * MICROS_PER_MILLI);
        long read = harness.request(RouterTestHarness.SESSION_READ, 5, MICROS_PER_MILLI);
        String first = harness.sentTo(read);
        assertTrue(first.startsWith("r"));
        harness.endAttempt(read, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        assertFalse(harness.isRejected(read));
        harness.endAttempt(read, AttemptResult.INELIGIBLE_REPLICA, Role.REPLICA, AbsentValue.NONE);
        int attempts = harness.attempts(read);
        assertFalse(harness.isFailed(read));
        harness.reportHealth("r1", Role.REPLICA, harness.now);
        assertEquals(attempts + 1, harness.attempts(read));
        assertEquals("r1", harness.sentTo(read));
    }

    @Test
    void readOfAnEvictedSessionIsNotServedStale() {
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup();
        long first = harness.now + MICROS_PER_MILLI;
        harness.commitWrite(0, first);
        for (int session = 1; session <= 20_000; session++) {
            harness.commitWrite(session, first - 1_000 * MICROS_PER_MILLI);
            harness.actions.clear();
        }
        assertNull(harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 0, AbsentValue.NONE)));
        assertNull(
                harness.sentTo(harness.request(RouterTestHarness.SESSION_READ, 99_999, AbsentValue.NONE)),
                "a session without a stored token may have been evicted");
    }
}
