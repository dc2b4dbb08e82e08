package crankwick.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What emulated databases have done, for whoever compares it with the replies that clients got. */
public final class ExecutionLog {
    /**
     * A time without a leader.
     *
     * @param from its begin, in Unix microseconds
     * @param until its end; Long.MAX_VALUE while it lasts
     * @param planned whether the leader drained
     * @param warmingUp whether the leader that ended it was not warm, so that it could not be sent all that waited
     */
    public record LeaderlessPeriod(int group, long from, long until, boolean planned, boolean warmingUp) {
        boolean lasts() {
            return until == Long.MAX_VALUE;
        }

        LeaderlessPeriod endedAt(long time, boolean leaderWarmingUp) {
            return new LeaderlessPeriod(group, from, time, planned, leaderWarmingUp);
        }
    }

    private final Map<String, Integer> timesApplied = new HashMap<>();
    private final List<LeaderlessPeriod> leaderlessPeriods = new ArrayList<>();
    private long failovers;
    private long collapses;
    private long concurrentAttempts;
    private long appliedTwice;

    synchronized void recordApplied(String key) {
        if (timesApplied.merge(key, 1, Integer::sum) > 1) {
            appliedTwice++;
        }
    }

    synchronized void recordRolledBack(String key) {
        timesApplied.merge(key, -1, Integer::sum);
    }

    synchronized void recordLeaderLost(int group, long at, boolean planned) {
        leaderlessPeriods.add(new LeaderlessPeriod(group, at, Long.MAX_VALUE, planned, false));
    }

    synchronized void recordLeaderElected(int group, long at, boolean changed, boolean warmingUp) {
        failovers += changed ? 1 : 0;
        leaderlessPeriods.replaceAll(
                period -> period.group() == group && period.lasts() ? period.endedAt(at, warmingUp) : period);
    }

    synchronized void recordCollapse() {
        collapses++;
    }

    synchronized void recordConcurrentAttempt() {
        concurrentAttempts++;
    }

    /** When groups took no writes, in the order of their beginnings. */
    public synchronized List<LeaderlessPeriod> leaderlessPeriods() {
        return List.copyOf(leaderlessPeriods);
    }

    /** How many times a key stands in its group's log now. */
    public synchronized int timesApplied(String key) {
        return timesApplied.getOrDefault(key, 0);
    }

    /** Changes of leaders so far. */
    public synchronized long failovers() {
        return failovers;
    }

    /** False if a key was applied twice, a request was at two databases at once, or one collapsed. */
    public synchronized boolean hasNoViolations() {
        return appliedTwice + concurrentAttempts + collapses == 0;
    }

    /** All statistics under the names that the command line prints; only "changes" and "keys" may be other than 0. */
    public synchronized Map<String, Object> statistics() {
        Map<String, Object> statistics = new LinkedHashMap<>();
        statistics.put("changes", failovers);
        statistics.put("keys", timesApplied.size());
        statistics.put("applied_twice", appliedTwice);
        statistics.put("second_attempts", concurrentAttempts);
        statistics.put("fallen", collapses);
        return statistics;
    }
}
