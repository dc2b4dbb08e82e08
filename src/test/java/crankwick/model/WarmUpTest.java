package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Capacity after a start, and the bound on the work that a cold member bears; times in microseconds. */
public class WarmUpTest {
    private static final long START = 1_000_000_000;
    private static final ModelSettings SETTINGS = ModelSettings.DEFAULT;

    private static WarmUp started() {
        WarmUp warmUp = new WarmUp(SETTINGS);
        warmUp.restart(START);
        return warmUp;
    }

    @Test
    public void capacityGrowsLinearlyFromItsInitialShare() {
        WarmUp warmUp = started();
        assertEquals(warmUp.capacity(START), 0.18);
        assertEquals(warmUp.capacity(START + SETTINGS.warmUpMicros() / 2), 0.59, 1e-9);
        assertEquals(warmUp.capacity(START + SETTINGS.warmUpMicros()), 1.0);
        assertEquals(new WarmUp(SETTINGS).capacity(START), 1.0, "a member that has not restarted is warm");
    }

    @Test
    public void workBeyondTheMultipleOfItsCapacityOverloadsAColdMember() {
        double limit = SETTINGS.overloadMultiple() * 0.18 * SETTINGS.coresPerMember() * SETTINGS.overloadWindowMicros();
        WarmUp warmUp = started();
        assertFalse(warmUp.isOverloadedBy(limit, START));
        assertTrue(warmUp.isOverloadedBy(1, START));
    }

    @Test
    public void workOutsideTheWindowAndWorkAtAWarmMemberDoNotCount() {
        double limit = SETTINGS.overloadMultiple() * 0.18 * SETTINGS.coresPerMember() * SETTINGS.overloadWindowMicros();
        WarmUp warmUp = started();
        assertFalse(warmUp.isOverloadedBy(limit, START));
        assertFalse(warmUp.isOverloadedBy(limit, START + SETTINGS.overloadWindowMicros() + 1));
        assertFalse(new WarmUp(SETTINGS).isOverloadedBy(10 * limit, START));
    }
}
