package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Capacity during warm-up, and the overload limit of a member that is warming up; times in microseconds. */
public class WarmUpTest {
    private static final long START = 1_000_000_000;
    private static final ModelSettings SETTINGS = ModelSettings.DEFAULT;

    private static WarmUp restarted() {
        WarmUp warmUp = new WarmUp(SETTINGS);
        warmUp.restart(START);
        return warmUp;
    }

    @Test
    public void capacityGrowsLinearlyFromItsInitialShare() {
        WarmUp warmUp = restarted();
        assertEquals(warmUp.capacity(START), 0.18);
        assertEquals(warmUp.capacity(START + SETTINGS.warmUpMicros() / 2), 0.59, 1e-9);
        assertEquals(warmUp.capacity(START + SETTINGS.warmUpMicros()), 1.0);
        assertEquals(new WarmUp(SETTINGS).capacity(START), 1.0, "a member that has not restarted has full capacity");
    }

    @Test
    public void workAboveTheMultipleOfItsCapacityOverloadsAMemberDuringWarmUp() {
        double limit = SETTINGS.overloadMultiple() * 0.18 * SETTINGS.coresPerMember() * SETTINGS.overloadWindowMicros();
        WarmUp warmUp = restarted();
        assertFalse(warmUp.recordWorkAndCheckOverload(limit, START));
        assertTrue(warmUp.recordWorkAndCheckOverload(1, START));
    }

    @Test
    public void workOutsideTheWindowAndWorkAtFullCapacityAreIgnored() {
        double limit = SETTINGS.overloadMultiple() * 0.18 * SETTINGS.coresPerMember() * SETTINGS.overloadWindowMicros();
        WarmUp warmUp = restarted();
        assertFalse(warmUp.recordWorkAndCheckOverload(limit, START));
        assertFalse(warmUp.recordWorkAndCheckOverload(limit, START + SETTINGS.overloadWindowMicros() + 1));
        assertFalse(new WarmUp(SETTINGS).recordWorkAndCheckOverload(10 * limit, START));
    }
}
