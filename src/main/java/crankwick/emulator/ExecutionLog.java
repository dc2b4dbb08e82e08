package crankwick.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What emulated databases have done, for whoever compares it with what clients were told. */
public final class ExecutionLog {
    /**
     * A time without a primary, in Unix microseconds; Long.MAX_VALUE while it lasts. {@code cold}: who
     * ended it had started too lately to be warm, so that it could not be sent all that waited.
     */
    public record Vacancy(int group, long from, long until, boolean planned, boolean cold) {}

    private final Map<String, Integer> applied = new HashMap<>();
    private final List<Vacancy> vacancies = new ArrayList<>();
    private long changes;
    private long fallen;
    private long secondAttempts;
    private long appliedTwice;

    synchronized void applied(String key, int times) {
        if (applied.merge(key, times, Integer::sum) > 1 && times > 0) {
            appliedTwice++;
        }
    }

    synchronized void vacant(int group, long at, boolean planned) {
        vacancies.add(new Vacancy(group, at, Long.MAX_VALUE, planned, false));
    }

    synchronized void led(int group, long at, boolean anew, boolean cold) {
        changes += anew ? 1 : 0;
        vacancies.replaceAll(v ->
                v.group == group && v.until == Long.MAX_VALUE ? new Vacancy(group, v.from, at, v.planned, cold) : v);
    }

    /** When groups took no writes, in the order of their beginnings. */
    public synchronized List<Vacancy> vacancies() {
        return List.copyOf(vacancies);
    }

    synchronized void fell() {
        fallen++;
    }

    synchronized void secondAttempt() {
        secondAttempts++;
    }

    /** How many times a key stands in its group's log now. */
    public synchronized int timesApplied(String key) {
        return applied.getOrDefault(key, 0);
    }

    /** Changes of primaries so far. */
    public synchronized long changes() {
        return changes;
    }

    /** False if a key was applied twice, a request was at two databases at once, or one was pushed over. */
    public synchronized boolean isSound() {
        return appliedTwice + secondAttempts + fallen == 0;
    }

    /** All figures by name; of them only "changes" and "keys" may be other than 0. */
    public synchronized Map<String, Object> figures() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("changes", changes);
        all.put("keys", applied.size());
        all.put("applied_twice", appliedTwice);
        all.put("second_attempts", secondAttempts);
        all.put("fallen", fallen);
        return all;
    }
}
