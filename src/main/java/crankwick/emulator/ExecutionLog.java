package crankwick.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Records what the emulated databases executed, to be compared with the replies that clients received. */
public final class ExecutionLog {
    /**
     * A period in which a group had no leader.
     *
     * @param from its start, in Unix microseconds
     * @param until its end, in Unix microseconds; Long.MAX_VALUE while it is ongoing
     * @param planned whether the previous leader was draining
     * @param warmingUp whether the leader elected at its end was still warming up, so that it could not be sent all
     *     buffered writes at once
     */
    public record LeaderlessPeriod(int group, long from, long until, boolean planned, boolean warmingUp) {
        boolean isOngoing() {
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
                period -> period.group() == group && period.isOngoing() ? period.endedAt(at, warmingUp) : period);
    }

    synchronized void recordCollapse() {
        collapses++;
    }

    synchronized void recordConcurrentAttempt() {
        concurrentAttempts++;
    }

    /** The periods in which groups had no leader, ordered by start. */
    public synchronized List<LeaderlessPeriod> leaderlessPeriods() {
        return List.copyOf(leaderlessPeriods);
    }

    /** How often a write with this key was appended to a group's log, not counting writes that were rolled back. */
    public synchronized int timesApplied(String key) {
        return timesApplied.getOrDefault(key, 0);
    }

    /** The number of elections so far of a member other than the group's previous leader. */
    public synchronized long failovers() {
        return failovers;
    }

    /** False if a key was applied twice, two attempts of a request were in flight at once, or a database collapsed. */
    public synchronized boolean hasNoViolations() {
        return appliedTwice + concurrentAttempts + collapses == 0;
    }

    /** The statistics under the names that the command prints; all but "changes" and "keys" count violations. */
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
