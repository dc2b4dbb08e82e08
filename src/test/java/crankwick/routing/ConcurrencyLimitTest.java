package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the adaptive concurrency limit of one endpoint. */
class ConcurrencyLimitTest {
    private static final long NOW = 1_000_000_000L;

    /** Returns the number of concurrent attempts that the limit admits. */
    private static int capacity(ConcurrencyLimit limit, double capacityFraction) {
        int attempts = 0;
        while (limit.allowsConcurrent(capacityFraction)) {
            limit.startAttempt(NOW);
            attempts++;
        }
        for (int i = 0; i < attempts; i++) {
            limit.endAttempt();
        }
        return attempts;
    }

    @Test
    void initialLimitIsSharedByAllProxies() {
        assertTrue(capacity(new ConcurrencyLimit(1), 1) > capacity(new ConcurrencyLimit(3), 1));
        assertTrue(capacity(new ConcurrencyLimit(100), 1) == 1, "initial limit is at least 1");
    }

    @Test
    void limitDecreasesAndIncreases() {
        ConcurrencyLimit limit = new ConcurrencyLimit(1);
        int initial = capacity(limit, 1);
        limit.decrease();
        int decreased = capacity(limit, 1);
        assertTrue(decreased < initial);
        for (int i = 0; i < 200; i++) {
            limit.increase();
        }
        assertTrue(capacity(limit, 1) > decreased);
    }

    @Test
    void limitIsLowerInSlowStart() {
        ConcurrencyLimit limit = new ConcurrencyLimit(1);
        assertTrue(capacity(limit, 0.5) < capacity(limit, 1));
    }

    @Test
    void limitBelowOneEnforcesIntervalBetweenAttempts() {
        ConcurrencyLimit limit = new ConcurrencyLimit(30);
        assertTrue(limit.allowsRate(1_000, NOW));
        limit.startAttempt(NOW);
        limit.endAttempt();
        assertTrue(limit.allowsRate(1_000, NOW), "a limit of 1 enforces no interval");
        limit.decrease();
        assertFalse(limit.allowsRate(1_000, NOW + 1_000));
        assertTrue(limit.allowsRate(1_000, NOW + 1_250));
    }
}
