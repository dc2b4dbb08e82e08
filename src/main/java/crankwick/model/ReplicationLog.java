package crankwick.model;

import java.util.ArrayList;
import java.util.List;

/** The group's one log; an entry's index counts from the log's beginning, also after that was trimmed. */
final class ReplicationLog {
    /** The index that stands for no entry. */
    static final long NO_ENTRY = -1;
    /** Entries that are dropped at once, and kept at least. */
    private static final int TRIM_ENTRIES = 4_096;

    private final List<LogEntry> entries = new ArrayList<>();
    private long trimmedEntries;

    /** Appends an entry; returns its index. */
    long append(LogEntry entry) {
        entries.add(entry);
        return end() - 1;
    }

    /** How many entries there have been: the index of the next one. */
    long end() {
        return trimmedEntries + entries.size();
    }

    /** The index of the first entry that is still kept. */
    long begin() {
        return trimmedEntries;
    }

    LogEntry get(long index) {
        return entries.get((int) (index - trimmedEntries));
    }

    /** The index of a key's entry of that commit; {@link #NO_ENTRY} if it is no longer kept. */
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

    /** Drops old entries once there are many; true if it did. */
    boolean trim() {
        if (entries.size() < 2 * TRIM_ENTRIES) {
            return false;
        }
        entries.subList(0, TRIM_ENTRIES).clear();
        trimmedEntries += TRIM_ENTRIES;
        return true;
    }
}
