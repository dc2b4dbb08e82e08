package crankwick;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The positions that sessions must see, of a bounded number of them; those forgotten share one floor. */
final class SessionPositions {
    private static final int SESSIONS_MOST = 20_000;

    private final Map<Long, Long> positions = new LinkedHashMap<>(16, 0.75f, true);
    private long floor = Long.MIN_VALUE;

    long get(long session) {
        return positions.getOrDefault(session, floor);
    }

    void remember(long session, long position) {
        positions.merge(session, position, Math::max);
        if (positions.size() > SESSIONS_MOST) {
            Iterator<Map.Entry<Long, Long>> eldest = positions.entrySet().iterator();
            floor = Math.max(floor, eldest.next().getValue());
            eldest.remove();
        }
    }
}
