package crankwick.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stores the highest log position of the writes of each session, which reads of the session must see. The number of
 * sessions is bounded: the least recently used ones are evicted, and all evicted sessions share the highest evicted
 * position.
 */
final class SessionTokenStore {
    private static final int MAX_SESSIONS = 20_000;

    private final Map<Long, Long> positions = new LinkedHashMap<>(16, 0.75f, true);
    private long evictedPosition = Long.MIN_VALUE;

    /**
     * Returns the position that reads of the session must see. For a session that is not stored this is the highest
     * evicted position, or {@code Long.MIN_VALUE} if none was evicted.
     */
    long get(long session) {
        return positions.getOrDefault(session, evictedPosition);
    }

    void put(long session, long position) {
        positions.merge(session, position, Math::max);
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Map.Entry<Long, Long>> lruIterator = positions.entrySet().iterator();
            evictedPosition = Math.max(evictedPosition, lruIterator.next().getValue());
            lruIterator.remove();
        }
    }
}
