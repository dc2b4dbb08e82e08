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

/** The registry against a plain map with a sweep, on random operations by seed. */
public class KeyRegistryTest {
    private static final long KEPT = 5_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** What the registry must do, done simply. */
    private static final class Plain {
        private final Map<Long, long[]> entries = new HashMap<>();

        void sent(long key, long now) {
            sweep(now);
            long[] e = entries.get(key);
            if (e == null || e[1] == 4) {
                entries.put(key, new long[] {now, 1, now + KEPT});
            }
        }

        void ended(long key, boolean served, boolean notRun) {
            long[] e = entries.get(key);
            if (e != null) {
                e[1] = served ? 3 : !notRun ? Math.max(e[1] == 3 ? 3 : 2, 2) : e[1] == 1 ? 4 : e[1];
            }
        }

        long ranSince(long key, long now) {
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
    public void doesAsAPlainMapWithASweep(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        KeyRegistry registry = new KeyRegistry(10_000, seed);
        Plain plain = new Plain();
        long now = 1_000_000_000;
        int compared = 0;
        for (int i = 0; i < 40_000; i++) {
            now += random.nextInt(3) == 0 ? random.nextLong(20_000) : 0;
            now += random.nextInt(5_000) == 0 ? 30_000_000 : 0;
            long key = registry.hash(7, "k" + random.nextInt(400));
            switch (random.nextInt(3)) {
                case 0 -> {
                    assertTrue(registry.sent(key, now, KEPT));
                    plain.sent(key, now);
                }
                case 1 -> {
                    int how = random.nextInt(3);
                    registry.ended(key, how == 0, how == 1);
                    plain.ended(key, how == 0, how == 1);
                }
                default -> {
                    assertEquals(registry.ranSince(key, now), plain.ranSince(key, now), "step " + i);
                    compared++;
                }
            }
        }
        assertTrue(compared > 10_000);
        assertEquals(registry.ranSince(registry.hash(7, "k1"), now + 60_000_000), NEVER);
        assertEquals(registry.size(), 0);
    }

    @Test
    public void isBoundedAndTakesKeysAgainOnceOthersHaveEnded() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        for (int i = 0; i < 100; i++) {
            assertTrue(registry.sent(registry.hash(1, "a" + i), 1_000, KEPT));
        }
        assertFalse(registry.sent(registry.hash(1, "one more"), 1_000, KEPT));
        assertTrue(registry.sent(registry.hash(1, "a5"), 1_000, KEPT), "one that is known needs no room");
        assertTrue(registry.sent(registry.hash(1, "one more"), 1_000 + KEPT + 20_000, KEPT));
        assertEquals(registry.size(), 1);
    }

    @Test
    public void theSameKeyInTwoGroupsIsTwoKeys() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        registry.sent(registry.hash(1, "k"), 500, KEPT);
        assertEquals(registry.ranSince(registry.hash(2, "k"), 600), NEVER);
        assertEquals(registry.ranSince(registry.hash(1, "k"), 600), 500);
    }

    /** A later attempt makes no window longer, and one proven not to have run ends no older doubt. */
    @Test
    public void theFirstAttemptThatMayHaveRunDatesTheWindow() {
        KeyRegistry registry = new KeyRegistry(100, 1);
        long key = registry.hash(1, "k");
        registry.sent(key, 100, KEPT);
        registry.ended(key, false, true);
        assertEquals(registry.ranSince(key, 150), NEVER);
        registry.sent(key, 200, KEPT);
        registry.ended(key, false, false);
        registry.sent(key, 300, KEPT);
        registry.ended(key, false, true);
        assertEquals(registry.ranSince(key, 400), 200);
    }
}
