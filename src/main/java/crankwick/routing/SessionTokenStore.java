package crankwick.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The log position of each session's last write, which its reads must see. The number of sessions is bounded:
 * those evicted, least recently used first, share the highest position evicted.
 */
final class SessionTokenStore {
    private static final int MAX_SESSIONS = 20_000;

    private final Map<Long, Long> positions = new LinkedHashMap<>(16, 0.75f, true);
    private long evictedPosition = Long.MIN_VALUE;

    /** The position that the session's reads must see; the smallest long if it has written nothing. */
    long get(long session) {
        return positions.getOrDefault(session, evictedPosition);
    }

    void put(long session, long position) {
        positions.merge(session, position, Math::max);
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Map.Entry<Long, Long>> leastRecent = positions.entrySet().iterator();
            evictedPosition = Math.max(evictedPosition, leastRecent.next().getValue());
            leastRecent.remove();
        }
    }
}
