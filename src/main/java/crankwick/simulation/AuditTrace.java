package crankwick.simulation;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The last lines of a run, and the excerpt of them that tells of one request, its key and its group. */
final class AuditTrace {
    private static final int LINES_MOST = 20_000;
    private static final int LINES_SHOWN = 40;

    private record Line(long at, int group, long ref, String text) {}

    private final ArrayDeque<Line> lines = new ArrayDeque<>();
    /** The keys of the last requests. */
    private final Map<Long, String> keys = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > LINES_MOST;
        }
    };

    /** A line about a request, or about the whole group where {@code ref} is negative. */
    void note(long now, int group, long ref, String text) {
        lines.add(new Line(now, group, ref, text));
        if (lines.size() > LINES_MOST) {
            lines.remove();
        }
    }

    void key(long ref, String key) {
        keys.put(ref, key);
    }

    /** The last lines about a request and its group, and about a key where that is not null. */
    String excerpt(int group, long ref, String key) {
        List<Line> about = lines.stream()
                .filter(line -> line.group == group)
                .filter(line -> line.ref == ref || line.ref < 0 || key != null && tellsOf(line, key))
                .toList();
        StringBuilder text = new StringBuilder();
        for (Line line : about.subList(Math.max(0, about.size() - LINES_SHOWN), about.size())) {
            text.append(String.format("  %12.3f ms  %s%n", line.at / 1_000.0, line.text));
        }
        return text.toString();
    }

    private boolean tellsOf(Line line, String key) {
        return line.text.contains(key + " ") || key.equals(keys.get(line.ref));
    }
}
