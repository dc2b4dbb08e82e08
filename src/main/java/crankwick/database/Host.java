package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** One database as the pool knows it: its address and its idle connections. Lives on the event loop. */
final class Host {
    private static final long NOT_REMOVED = Long.MAX_VALUE;

    /** Connections without an exchange, the longest idle first. */
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    /** Null where the endpoint list has never named the host, or no longer does. */
    private EndpointAddress listed;

    private long removedAtMicros = NOT_REMOVED;

    /** Null where the host is not listed. */
    SocketAddress address() {
        return listed == null ? null : listed.address();
    }

    /** Takes an entry of the endpoint list in; connections to an earlier process or address are not used again. */
    void update(EndpointAddress entry, long nowMicros) {
        EndpointAddress known = listed;
        boolean removed = entry.endpoint().status() == EndpointStatus.REMOVED;
        listed = entry;
        if (removed) {
            markRemoved(nowMicros);
        } else {
            removedAtMicros = NOT_REMOVED;
        }
        if (known != null
                && (removed
                        || known.endpoint().startedAt() != entry.endpoint().startedAt()
                        || !known.address().equals(entry.address()))) {
            discardIdle();
        }
    }

    /** The endpoint list no longer names the host; the first such time counts. */
    void markRemoved(long nowMicros) {
        if (listed != null && removedAtMicros == NOT_REMOVED) {
            removedAtMicros = nowMicros;
        }
    }

    boolean isRemovedBefore(long micros) {
        return removedAtMicros < micros;
    }

    /** Forgets the address. */
    void unlist() {
        listed = null;
        removedAtMicros = NOT_REMOVED;
    }

    /** True if nothing is known of the host and nothing connected to it is idle. */
    boolean isUnused() {
        return listed == null && idle.isEmpty();
    }

    void addIdle(PooledConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(PooledConnection connection) {
        idle.remove(connection);
    }

    /** Takes the connection that was used last, of those idle since then or longer; null if there is none. */
    PooledConnection takeLastUsed(long idleSinceMicros) {
        Iterator<PooledConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            PooledConnection connection = lastUsedFirst.next();
            if (connection.idleSinceMicros() <= idleSinceMicros) {
                lastUsedFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Takes the connection that has been idle longest; null if there is none. */
    PooledConnection takeLongestIdle() {
        return idle.pollFirst();
    }

    /** The connection that has been idle longest, which stays; null if there is none. */
    PooledConnection longestIdle() {
        return idle.peekFirst();
    }

    void discardIdle() {
        for (PooledConnection connection : List.copyOf(idle)) {
            connection.discard(AttemptResult.RESET);
        }
    }

    /** Discards the connections that have been idle since before then. */
    void discardIdleBefore(long micros) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMicros() < micros) {
            idle.peekFirst().discard(AttemptResult.RESET);
        }
    }
}
