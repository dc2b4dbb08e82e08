package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import org.testng.annotations.Test;

/** Lookup and expiry of idempotency keys; times in microseconds. */
public class IdempotencyKeysTest {
    private static final long TTL = 1_000;

    @Test
    public void keyIsFoundUntilItsTtlExpires() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        keys.add(new LogEntry("k", 10), 10);
        assertEquals(keys.commitTime("k", 10 + TTL - 1), Long.valueOf(10));
        assertNull(keys.commitTime("k", 10 + TTL));
        assertNull(keys.commitTime("l", 10));
    }

    @Test
    public void laterCommitOfTheSameKeyIsFoundAfterTheEarlierExpires() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        keys.add(new LogEntry("k", 0), 0);
        keys.add(new LogEntry("k", TTL), TTL);
        keys.add(new LogEntry("l", TTL + 1), TTL + 1);
        assertEquals(keys.commitTime("k", TTL + 1), Long.valueOf(TTL));
    }

    @Test
    public void removedEntryIsNotFound() {
        IdempotencyKeys keys = new IdempotencyKeys(TTL);
        LogEntry entry = new LogEntry("k", 10);
        keys.add(entry, 10);
        keys.remove(entry);
        assertNull(keys.commitTime("k", 11));
    }
}
