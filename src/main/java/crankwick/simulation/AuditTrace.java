package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The most recent lines of a run's trace. Excerpts contain the lines about one request, its idempotency key and its
 * group.
 */
final class AuditTrace {
    /** Stands for the request id in a trace line that concerns a whole group. */
    static final long GROUP_REQUEST_ID = -1;

    private static final int MAX_LINES = 20_000;
    private static final int MAX_EXCERPT_LINES = 40;

    private record Line(long time, int group, long requestId, String text) {}

    private final ArrayDeque<Line> lines = new ArrayDeque<>();
    /** The idempotency keys of the most recent {@link #MAX_LINES} writes, by request id. */
    private final Map<Long, String> keysByRequestId = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_LINES;
        }
    };

    /** Adds a line about a request, or about a whole group with {@link #GROUP_REQUEST_ID}. */
    void add(long now, int group, long requestId, String text) {
        lines.add(new Line(now, group, requestId, text));
        if (lines.size() > MAX_LINES) {
            lines.remove();
        }
    }

    void addKey(long requestId, String key) {
        keysByRequestId.put(requestId, key);
    }

    /**
     * Returns the last {@link #MAX_EXCERPT_LINES} lines of a group that concern the whole group, the request or, unless
     * {@code key} is null, the idempotency key.
     */
    String excerpt(int group, long requestId, String key) {
        List<Line> relevant = lines.stream()
                .filter(line -> line.group == group)
                .filter(line ->
                        line.requestId == requestId || line.requestId < 0 || key != null && concernsKey(line, key))
                .toList();
        StringBuilder text = new StringBuilder();
        for (Line line : relevant.subList(Math.max(0, relevant.size() - MAX_EXCERPT_LINES), relevant.size())) {
            text.append(String.format("  %12.3f ms  %s%n", line.time / (double) MILLIS, line.text));
        }
        return text.toString();
    }

    private boolean concernsKey(Line line, String key) {
        return line.text.contains(key + " ") || key.equals(keysByRequestId.get(line.requestId));
    }
}
