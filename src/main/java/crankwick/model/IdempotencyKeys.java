package crankwick.model;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idempotency keys of committed writes; each key expires a fixed time after its commit. */
final class IdempotencyKeys {
    private final long ttlMicros;
    private final Map<String, Long> committedAt = new HashMap<>();
    private final ArrayDeque<LogEntry> oldestFirst = new ArrayDeque<>();

    IdempotencyKeys(long ttlMicros) {
        this.ttlMicros = ttlMicros;
    }

    /** The commit time of a key; null if the key is unknown or has expired. */
    Long commitTime(String key, long now) {
        Long commitTime = committedAt.get(key);
        return commitTime != null && now - commitTime < ttlMicros ? commitTime : null;
    }

    /** Adds the key of a new log entry, and removes expired keys. */
    void add(LogEntry entry, long now) {
        committedAt.put(entry.idempotencyKey(), entry.committedAt());
        oldestFirst.add(entry);
        while (now - oldestFirst.peek().committedAt() >= ttlMicros) {
            LogEntry expired = oldestFirst.poll();
            committedAt.remove(expired.idempotencyKey(), expired.committedAt());
        }
    }

    /** Removes the key of a log entry that was rolled back. */
    void remove(LogEntry entry) {
        committedAt.remove(entry.idempotencyKey(), entry.committedAt());
        oldestFirst.remove(entry);
    }
}
