package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;

/** Retry eligibility and the retry budget. */
class RetryPolicyTest {
    private static final long NOW = 1_000_000_000L;
    private static final long KEY_TTL = 500_000;

    private final RoutingSettings settings = TestSettings.keyedWrite(KEY_TTL, 3_000_000, 250_000, true);
    private final RetryPolicy policy = new RetryPolicy(settings.limits());
    private final EndpointGroup group = new EndpointGroup(1, 1);
    private final EndpointState endpoint =
            new EndpointState(new Endpoint("p", 0, 1, Role.PRIMARY, EndpointStatus.LIVE, 0), group, settings);

    private PendingRequest request() {
        RoutingRequest request = new RoutingRequest(1, 0, 1, 9, 0, NOW + 3_000_000);
        return new PendingRequest(request, settings.requestClasses().get(0), group, Long.MIN_VALUE, NOW);
    }

    @Test
    void possiblyExecutedWriteIsRetriedOnlyWithinItsKeyTtl() {
        PendingRequest write = request();
        write.startAttempt(endpoint, Long.MAX_VALUE, NOW);
        write.recordPossibleExecution(endpoint);
        assertFalse(policy.isSafeToReject(write), "the idempotency key is deduplicated within the group only");
        assertTrue(policy.isSafeToExecuteAt(write, endpoint, NOW + KEY_TTL - 1));
        assertFalse(policy.isSafeToExecuteAt(write, endpoint, NOW + KEY_TTL));
    }

    @Test
    void attemptsAreLimitedPerRequest() {
        PendingRequest request = request();
        for (int i = 0; i < settings.limits().maxAttempts(); i++) {
            assertTrue(policy.tryAcquireRetry(request, AttemptResult.ERROR, NOW));
            request.startAttempt(endpoint, Long.MAX_VALUE, NOW);
        }
        assertFalse(policy.tryAcquireRetry(request, AttemptResult.ERROR, NOW));
    }

    @Test
    void retriesUseTheBudgetUnlessTheResultIsExempt() {
        int retries = 0;
        while (policy.tryAcquireRetry(request(), AttemptResult.ERROR, NOW)) {
            retries++;
        }
        assertEquals(30, retries);
        assertTrue(policy.tryAcquireRetry(request(), AttemptResult.INELIGIBLE_REPLICA, NOW));
        for (int i = 0; i < 4; i++) {
            assertFalse(policy.tryAcquireRetry(request(), AttemptResult.ERROR, NOW));
            policy.depositForRequest();
        }
        assertTrue(policy.tryAcquireRetry(request(), AttemptResult.ERROR, NOW));
    }

    @Test
    void noRetryStartsWithinTheResponseMarginBeforeTheDeadline() {
        assertFalse(policy.tryAcquireRetry(request(), AttemptResult.ERROR, NOW + 2_970_000));
        assertTrue(policy.tryAcquireRetry(request(), AttemptResult.ERROR, NOW + 2_969_999));
    }
}
