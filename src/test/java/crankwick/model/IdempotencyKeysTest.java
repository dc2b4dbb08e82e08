package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import org.testng.annotations.Test;

/** How long idempotency keys are remembered; times in microseconds. */
public class IdempotencyKeysTest {
    private static final long TTL = 1_000;

    @Test
    public void keyIsRememberedForItsTtl() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        keys.remember(new LogEntry("k", 10), 10);
        assertEquals(keys.commitOf("k", 10 + TTL - 1), Long.valueOf(10));
        assertNull(keys.commitOf("k", 10 + TTL));
        assertNull(keys.commitOf("l", 10));
    }

    @Test
    public void laterCommitOfTheSameKeyOutlivesTheEarlierOne() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        keys.remember(new LogEntry("k", 0), 0);
        keys.remember(new LogEntry("k", TTL), TTL);
        keys.remember(new LogEntry("l", TTL + 1), TTL + 1);
        assertEquals(keys.commitOf("k", TTL + 1), Long.valueOf(TTL));
    }

    @Test
    public void entryThatWasRolledBackIsForgotten() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        LogEntry entry = new LogEntry("k", 10);
        keys.remember(entry, 10);
        keys.forget(entry);
        assertNull(keys.commitOf("k", 11));
    }
}
