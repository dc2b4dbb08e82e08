package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Unit tests of the estimators used by the router. */
class EstimatesTest {
    @Test
    void countDecaysWithTimeConstant() {
        DecayingCount count = new DecayingCount(1_000);
        count.add(0);
        count.add(0);
        assertEquals(2 / Math.E, count.at(1_000), 1e-9);
        count.add(1_000);
        assertEquals(2 / Math.E + 1, count.at(1_000), 1e-9);
    }

    @Test
    void meanIsUpdatedByGainAndDecaysToBaseline() {
        DecayingMean mean = new DecayingMean(0.5, 2, 1_000);
        assertEquals(2, mean.at(5_000));
        mean.add(4, 5_000);
        assertEquals(3, mean.at(5_000));
        assertEquals(2.5, mean.at(5_500));
        assertEquals(2, mean.at(7_000));
    }

    @Test
    void estimateConvergesToQuantileOfSamples() {
        QuantileEstimate estimate = new QuantileEstimate(0.01, 0.3, 50);
        for (int i = 0; i < 20_000; i++) {
            estimate.add(i * 37 % 100);
        }
        assertEquals(30, estimate.value(), 2);
    }

    @Test
    void firstAttemptTimeoutIsKnownAfterThreeAgreeingRequests() {
        ClientTimeoutEstimator estimator = new ClientTimeoutEstimator(10);
        for (int i = 0; i < 3; i++) {
            assertTrue(estimator.isFirstAttempt(500 + i));
        }
        assertTrue(estimator.isFirstAttempt(505));
        assertFalse(estimator.isFirstAttempt(300));
        assertTrue(estimator.isFirstAttempt(500));
    }

    @Test
    void evictedSessionsMustSeeTheHighestEvictedPosition() {
        SessionTokenStore tokens = new SessionTokenStore();
        assertEquals(Long.MIN_VALUE, tokens.get(1));
        tokens.put(1, 70);
        tokens.put(1, 50);
        assertEquals(70, tokens.get(1));
        for (int session = 2; session <= 20_001; session++) {
            tokens.put(session, 100 + session);
        }
        assertEquals(70, tokens.get(1));
        assertEquals(102, tokens.get(2));
    }
}
