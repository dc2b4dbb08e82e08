package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** A database in the pool: its address and its idle connections. Confined to the event loop. */
final class Host {
    private static final long NOT_REMOVED = Long.MAX_VALUE;

    /** Idle connections to the database, least recently used first. */
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    /** The host's entry in the endpoint list; null before the list names the host, and after {@link #unlist}. */
    private EndpointAddress listed;

    private long removedAtMicros = NOT_REMOVED;

    /**
     * The database's address; null if the host is not listed. A removed host keeps its address until {@link #unlist}.
     */
    SocketAddress address() {
        return listed == null ? null : listed.address();
    }

    /**
     * Applies an entry of the endpoint list. Closes idle connections if the host is removed, or if its process start or
     * its address has changed.
     */
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

    /**
     * Records the time of the removal of the host from the endpoint list; keeps the first time if it is already
     * removed.
     */
    void markRemoved(long nowMicros) {
        if (listed != null && removedAtMicros == NOT_REMOVED) {
            removedAtMicros = nowMicros;
        }
    }

    boolean wasRemovedBefore(long micros) {
        return removedAtMicros < micros;
    }

    /** Clears the list entry, and with it the address, and the removal time. */
    void unlist() {
        listed = null;
        removedAtMicros = NOT_REMOVED;
    }

    /** True if the host is not listed and has no idle connections. */
    boolean isUnused() {
        return listed == null && idle.isEmpty();
    }

    void addIdle(PooledConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(PooledConnection connection) {
        idle.remove(connection);
    }

    /**
     * Removes and returns the most recently used of the synchronized connections that became idle at
     * {@code idleSinceMicros} or earlier; null if there is none.
     */
    PooledConnection takeMostRecentlyUsed(long idleSinceMicros) {
        Iterator<PooledConnection> mostRecentFirst = idle.descendingIterator();
        while (mostRecentFirst.hasNext()) {
            PooledConnection connection = mostRecentFirst.next();
            if (connection.isSynchronized() && connection.idleSinceMicros() <= idleSinceMicros) {
                mostRecentFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /**
     * Removes and returns the least recently used of the connections that became idle after {@code idleSinceMicros};
     * null if there is none.
     */
    PooledConnection takeLeastRecentlyUsedSince(long idleSinceMicros) {
        for (Iterator<PooledConnection> leastRecentFirst = idle.iterator(); leastRecentFirst.hasNext(); ) {
            PooledConnection connection = leastRecentFirst.next();
            if (connection.idleSinceMicros() > idleSinceMicros) {
                leastRecentFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns the least recently used idle connection without removing it; null if there is none. */
    PooledConnection leastRecentlyUsed() {
        return idle.peekFirst();
    }

    void discardIdle() {
        for (PooledConnection connection : List.copyOf(idle)) {
            connection.discard(AttemptResult.RESET);
        }
    }

    /** Closes the connections that became idle before the given time. */
    void discardIdleBefore(long micros) {
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMicros() < micros) {
            idle.peekFirst().discard(AttemptResult.RESET);
        }
    }
}
