package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.RoutingRules;
import org.junit.jupiter.api.Test;

/** Tests the capacity and the credit of an endpoint in slow start. */
class SlowStartTest {
    private static final long NOW = 1_000_000_000L;
    private static final long SECOND = TimeUnits.MICROS_PER_SECOND;
    private static final long DURATION = 10 * SECOND;

    private final SlowStart slowStart = new SlowStart(new RoutingRules(0, 0, false, 0.2, DURATION, 3, 0));

    @Test
    void capacityGrowsLinearlyFromTheStart() {
        assertTrue(slowStart.isWarm(NOW), "start time unknown");
        slowStart.restart(NOW, 0, NOW);
        assertEquals(0.2, slowStart.capacityFraction(NOW));
        assertEquals(0.6, slowStart.capacityFraction(NOW + DURATION / 2), 1e-9);
        assertFalse(slowStart.isWarm(NOW + DURATION - 1));
        assertTrue(slowStart.isWarm(NOW + DURATION));
    }

    @Test
    void creditAccruesOverTimeUpToItsMaximum() {
        slowStart.restart(NOW, 0.5, NOW);
        assertFalse(slowStart.earnCredit(1, NOW + SECOND / 4));
        assertTrue(slowStart.earnCredit(1, NOW + SECOND / 2));
        slowStart.spendCredit();
        assertFalse(slowStart.earnCredit(1, NOW + SECOND / 2));
        assertTrue(slowStart.earnCredit(1, NOW + 100 * SECOND));
        slowStart.spendCredit();
        assertFalse(slowStart.earnCredit(1, NOW + 100 * SECOND), "credit is capped below two attempts");
    }
}
