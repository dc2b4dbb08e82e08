package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests ejection, trial attempts and readmission of one endpoint. */
class OutlierDetectorTest {
    private static final long NOW = 1_000_000_000L;
    private static final long SECOND = TimeUnits.MICROS_PER_SECOND;

    private final SplittableRandom random = new SplittableRandom(1);
    private final OutlierDetector detector = new OutlierDetector();

    private void failUntilEjected() {
        while (!detector.isEjected()) {
            detector.recordFailure(NOW, random);
        }
    }

    @Test
    void ejectsWhenTheFailureRateExceedsTheThreshold() {
        assertFalse(detector.recordFailure(NOW, random));
        assertFalse(detector.recordFailure(NOW, random));
        assertFalse(detector.recordFailure(NOW, random));
        assertTrue(detector.recordFailure(NOW, random), "failure rate exceeds one half after four failures");
        assertFalse(detector.recordFailure(NOW, random), "already ejected");
    }

    @Test
    void trialIsAllowedAfterABackoffThatGrowsWithEachEjection() {
        failUntilEjected();
        assertFalse(detector.allowsTrial(NOW + 300_000));
        assertTrue(detector.allowsTrial(NOW + 480_000));
        detector.eject(NOW, random);
        detector.eject(NOW, random);
        assertFalse(detector.allowsTrial(NOW + SECOND));
        assertTrue(detector.allowsTrial(NOW + 2 * SECOND));
    }

    @Test
    void onlySuccessOfAttemptSentAfterEjectionReadmits() {
        failUntilEjected();
        assertFalse(detector.recordSuccess(NOW - 1));
        assertTrue(detector.isEjected());
        assertTrue(detector.recordSuccess(NOW + 1));
        assertFalse(detector.isEjected());
    }

    @Test
    void connectionFailureEjectsAndRestartReadmits() {
        assertTrue(detector.recordConnectionFailure(NOW, random));
        detector.reset();
        assertFalse(detector.isEjected());
    }

    @Test
    void faultsLowerReliabilityAndDecay() {
        assertEquals(1, detector.reliability(NOW));
        detector.recordFault(NOW);
        assertEquals(0.5, detector.reliability(NOW));
        assertTrue(detector.reliability(NOW + 100 * SECOND) > 0.99);
    }
}
