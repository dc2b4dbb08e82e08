package crankwick.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The positions that sessions must see, of a bounded number of them; those forgotten share one floor. */
final class SessionTokenStore {
    private static final int MAX_SESSIONS = 20_000;

    private final Map<Long, Long> positions = new LinkedHashMap<>(16, 0.75f, true);
    private long floor = Long.MIN_VALUE;

    long get(long session) {
        return positions.getOrDefault(session, floor);
    }

    void remember(long session, long position) {
        positions.merge(session, position, Math::max);
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Map.Entry<Long, Long>> eldest = positions.entrySet().iterator();
            floor = Math.max(floor, eldest.next().getValue());
            eldest.remove();
        }
    }
}
