package crankwick.model;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idempotency keys that a group remembers, each for a fixed time from its commit on. */
final class IdempotencyKeys {
    private final long ttlMicros;
    private final Map<String, Long> committedAt = new HashMap<>();
    private final ArrayDeque<LogEntry> byAge = new ArrayDeque<>();

    IdempotencyKeys(long ttlMicros) {
        this.ttlMicros = ttlMicros;
    }

    /** When a key that is still remembered was committed; null for others. */
    Long commitOf(String key, long now) {
        Long commit = committedAt.get(key);
        return commit != null && now - commit < ttlMicros ? commit : null;
    }

    /** Remembers a new entry's key, and forgets those whose time is over. */
    void remember(LogEntry entry, long now) {
        committedAt.put(entry.idempotencyKey(), entry.committedAt());
        byAge.add(entry);
        while (now - byAge.peek().committedAt() >= ttlMicros) {
            LogEntry expired = byAge.poll();
            committedAt.remove(expired.idempotencyKey(), expired.committedAt());
        }
    }

    /** Forgets an entry that has left the log. */
    void forget(LogEntry entry) {
        committedAt.remove(entry.idempotencyKey(), entry.committedAt());
        byAge.remove(entry);
    }
}
