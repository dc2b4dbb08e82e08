package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the key registry, including a comparison with a reference on seeded random operations. */
public class KeyRegistryTest {
    private static final long TIME_TO_LIVE = 5_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** A reference with the same contract, implemented as a map that is swept on each operation. */
    private static final class ReferenceRegistry {
        private final Map<Long, long[]> entries = new HashMap<>();

        void recordAttempt(long key, long now) {
            sweep(now);
            long[] e = entries.get(key);
            if (e == null || e[1] == 4) {
                entries.put(key, new long[] {now, 1, now + TIME_TO_LIVE});
            }
        }

        void recordResult(long key, boolean executed, boolean notExecuted) {
            long[] e = entries.get(key);
            if (e != null) {
                e[1] = executed ? 3 : !notExecuted ? Math.max(e[1] == 3 ? 3 : 2, 2) : e[1] == 1 ? 4 : e[1];
            }
        }

        long mayHaveExecutedSince(long key, long now) {
            sweep(now);
            long[] e = entries.get(key);
            return e == null || e[1] == 4 ? NEVER : e[0];
        }

        private void sweep(long now) {
            for (Iterator<long[]> it = entries.values().iterator(); it.hasNext(); ) {
                if (it.next()[2] <= now) {
                    it.remove();
                }
            }
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    @Test(dataProvider = "seeds")
    public void matchesReferenceRegistry(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        KeyRegistry registry = new KeyRegistry(10_000, seed);
        ReferenceRegistry reference = new ReferenceRegistry();
        long now = 1_000_000_000;
        int compared = 0;
        for (int i = 0; i < 40_000; i++) {
            now += random.nextInt(3) == 0 ? random.nextLong(20_000) : 0;
            now += random.nextInt(5_000) == 0 ? 30_000_000 : 0;
            long key = registry.hash(7, "k" + random.nextInt(400));
            switch (random.nextInt(3)) {
                case 0 -> {
                    assertTrue(registry.recordAttempt(key, now, TIME_TO_LIVE));
                    reference.recordAttempt(key, now);
                }
                case 1 -> {
                    int outcome = random.nextInt(3);
                    registry.recordResult(key, outcome == 0, outcome == 1);
                    reference.recordResult(key, outcome == 0, outcome == 1);
                }
                default -> {
                    assertEquals(
                            registry.mayHaveExecutedSince(key, now),
                            reference.mayHaveExecutedSince(key, now),
                            "step " + i);
                    compared++;
                }
            }
        }
        assertTrue(compared > 10_000);
        assertEquals(registry.mayHaveExecutedSince(registry.hash(7, "k1"), now + 60_000_000), NEVER);
        assertEquals(registry.size(), 0);
    }

    @Test
    public void rejectsNewKeysAtCapacityUntilOthersExpire() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        for (int i = 0; i < 100; i++) {
            assertTrue(registry.recordAttempt(registry.hash(1, "a" + i), 1_000, TIME_TO_LIVE));
        }
        assertFalse(registry.recordAttempt(registry.hash(1, "one more"), 1_000, TIME_TO_LIVE));
        assertTrue(
                registry.recordAttempt(registry.hash(1, "a5"), 1_000, TIME_TO_LIVE),
                "a key in the registry needs no further entry");
        assertTrue(registry.recordAttempt(registry.hash(1, "one more"), 1_000 + TIME_TO_LIVE + 20_000, TIME_TO_LIVE));
        assertEquals(registry.size(), 1);
    }

    @Test
    public void keysOfDifferentGroupsAreDistinct() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        registry.recordAttempt(registry.hash(1, "k"), 500, TIME_TO_LIVE);
        assertEquals(registry.mayHaveExecutedSince(registry.hash(2, "k"), 600), NEVER);
        assertEquals(registry.mayHaveExecutedSince(registry.hash(1, "k"), 600), 500);
    }

    /** A later attempt must not extend the key window, nor clear the unknown outcome of an earlier attempt. */
    @Test
    public void firstAttemptThatMayHaveExecutedStartsTheWindow() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        long key = registry.hash(1, "k");
        registry.recordAttempt(key, 100, TIME_TO_LIVE);
        registry.recordResult(key, false, true);
        assertEquals(registry.mayHaveExecutedSince(key, 150), NEVER);
        registry.recordAttempt(key, 200, TIME_TO_LIVE);
        registry.recordResult(key, false, false);
        registry.recordAttempt(key, 300, TIME_TO_LIVE);
        registry.recordResult(key, false, true);
        assertEquals(registry.mayHaveExecutedSince(key, 400), 200);
    }
}
