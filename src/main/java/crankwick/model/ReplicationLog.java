package crankwick.model;

import java.util.ArrayList;
import java.util.List;

/** The group's replication log. Trimming does not change the index of an entry. */
final class ReplicationLog {
    /** Returned by {@link #find} if there is no matching entry. */
    static final long NO_ENTRY = -1;
    /** Number of entries removed by one trim, and minimum number that are left after it. */
    private static final int TRIM_ENTRIES = 4_096;

    private final List<LogEntry> entries = new ArrayList<>();
    private long trimmedEntries;

    /** Appends an entry; returns its index. */
    long append(LogEntry entry) {
        entries.add(entry);
        return end() - 1;
    }

    /** The index of the next entry to be appended. */
    long end() {
        return trimmedEntries + entries.size();
    }

    /** The index of the oldest retained entry; equal to {@link #end} if the log is empty. */
    long begin() {
        return trimmedEntries;
    }

    LogEntry get(long index) {
        return entries.get((int) (index - trimmedEntries));
    }

    /**
     * The index of the newest entry with this key that was committed at the given time or later; {@link #NO_ENTRY} if
     * no such entry is retained.
     */
    long find(String key, long committedAt) {
        for (int i = entries.size() - 1; i >= 0 && entries.get(i).committedAt() >= committedAt; i--) {
            if (entries.get(i).idempotencyKey().equals(key)) {
                return trimmedEntries + i;
            }
        }
        return NO_ENTRY;
    }

    LogEntry removeLast() {
        return entries.remove(entries.size() - 1);
    }

    /** Removes the oldest entries if at least 2 * TRIM_ENTRIES are retained; returns whether it removed any. */
    boolean trim() {
        if (entries.size() < 2 * TRIM_ENTRIES) {
            return false;
        }
        entries.subList(0, TRIM_ENTRIES).clear();
        trimmedEntries += TRIM_ENTRIES;
        return true;
    }
}
