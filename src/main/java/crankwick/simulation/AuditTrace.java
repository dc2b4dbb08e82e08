package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The last lines of a run, and the excerpt of them that concerns one request, its key and its group. */
final class AuditTrace {
    /** The request id of a line that concerns the whole group. */
    static final long WHOLE_GROUP = -1;

    private static final int MAX_LINES = 20_000;
    private static final int MAX_EXCERPT_LINES = 40;

    private record Line(long at, int group, long requestId, String text) {}

    private final ArrayDeque<Line> lines = new ArrayDeque<>();
    /** The idempotency keys of the last requests. */
    private final Map<Long, String> keys = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_LINES;
        }
    };

    /** Adds a line about a request, or about the {@link #WHOLE_GROUP}. */
    void add(long now, int group, long requestId, String text) {
        lines.add(new Line(now, group, requestId, text));
        if (lines.size() > MAX_LINES) {
            lines.remove();
        }
    }

    void addKey(long requestId, String key) {
        keys.put(requestId, key);
    }

    /** The last lines about a request and its group, and about a key where that is not null. */
    String excerpt(int group, long requestId, String key) {
        List<Line> relevant = lines.stream()
                .filter(line -> line.group == group)
                .filter(line ->
                        line.requestId == requestId || line.requestId < 0 || key != null && concernsKey(line, key))
                .toList();
        StringBuilder text = new StringBuilder();
        for (Line line : relevant.subList(Math.max(0, relevant.size() - MAX_EXCERPT_LINES), relevant.size())) {
            text.append(String.format("  %12.3f ms  %s%n", line.at / (double) MILLIS, line.text));
        }
        return text.toString();
    }

    private boolean concernsKey(Line line, String key) {
        return line.text.contains(key + " ") || key.equals(keys.get(line.requestId));
    }
}
