package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the estimate of the replication progress of one endpoint. */
class ReplicationPositionTest {
    private static final long NOW = 1_000_000_000L;
    private static final long MILLI = TimeUnits.MICROS_PER_MILLI;

    private final ReplicationPosition position = new ReplicationPosition();

    @Test
    void positionNeverDecreases() {
        position.advance(NOW, NOW);
        position.advance(NOW - 1, NOW + 5);
        assertTrue(position.hasReached(NOW));
        assertFalse(position.hasReached(NOW + 1));
        assertEquals(0, position.observedLag());
        assertEquals(5, position.lagAt(NOW + 5));
    }

    @Test
    void smallLagMayHaveBeenCaughtUp() {
        position.advance(NOW - 400 * MILLI, NOW);
        assertTrue(position.mayHaveReached(NOW, NOW));
        position.recordIneligible(NOW);
        assertFalse(position.mayHaveReached(NOW, NOW + 40 * MILLI), "backoff after a rejected read");
        assertTrue(position.mayHaveReached(NOW, NOW + 41 * MILLI));
    }

    @Test
    void largeLagIsAssumedToPersist() {
        position.advance(NOW - 600 * MILLI, NOW);
        assertFalse(position.mayHaveReached(NOW, NOW));
        assertFalse(position.mayHaveReached(NOW, NOW + 600 * MILLI));
        assertTrue(position.mayHaveReached(NOW, NOW + 601 * MILLI));
    }

    @Test
    void unknownPositionMayHaveReachedAnyPosition() {
        assertTrue(position.mayHaveReached(NOW, NOW));
        assertFalse(position.hasReached(0));
    }
}
