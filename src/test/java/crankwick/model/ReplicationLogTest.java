package crankwick.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Entry indexes and lookup in the replication log. */
public class ReplicationLogTest {
    @Test
    public void trimmingDoesNotChangeIndexes() {
        ReplicationLog log = new ReplicationLog();
        for (int i = 0; i < 8_191; i++) {
            assertEquals(log.append(new LogEntry("k" + i, i)), i);
            assertFalse(log.trim());
        }
        log.append(new LogEntry("k8191", 8_191));
        assertTrue(log.trim());
        assertEquals(log.begin(), 4_096);
        assertEquals(log.end(), 8_192);
        assertEquals(log.get(5_000).idempotencyKey(), "k5000");
        assertEquals(log.find("k5000", 5_000), 5_000);
        assertEquals(log.find("k4095", 4_095), ReplicationLog.NO_ENTRY);
    }

    @Test
    public void entryIsFoundByKeyAndCommitTimeUntilItIsRemoved() {
        ReplicationLog log = new ReplicationLog();
        log.append(new LogEntry("k", 10));
        log.append(new LogEntry("l", 20));
        assertEquals(log.find("k", 10), 0);
        assertEquals(log.find("k", 11), ReplicationLog.NO_ENTRY);
        assertEquals(log.removeLast(), new LogEntry("l", 20));
        assertEquals(log.find("l", 20), ReplicationLog.NO_ENTRY);
        assertEquals(log.end(), 1);
    }
}
