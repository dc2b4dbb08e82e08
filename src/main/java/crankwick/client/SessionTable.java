package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.transport.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The sessions of a listener. Each new session above the limit evicts another one; sessions whose close is pending do
 * not count. Confined to the event loop.
 */
final class SessionTable {
    private final EventLoop loop;
    private final OpenRequests requests;
    private final ClientCounters counters;
    private final CloseLog closeLog;
    private final int maxSessions;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    /** The number of sessions with {@link ClientSession#closePending} set. */
    private int pendingCloses;

    SessionTable(EventLoop loop, OpenRequests requests, ClientCounters counters, CloseLog closeLog, int maxSessions) {
        this.loop = loop;
        this.requests = requests;
        this.counters = counters;
        this.closeLog = closeLog;
        this.maxSessions = maxSessions;
    }

    /**
     * Adds a session, evicting another one if the limit is exceeded. Returns false if none can be evicted; the new
     * session then stays in the table until its connection closes.
     */
    boolean add(ClientSession session) {
        sessions.add(session);
        return !isOverLimit() || evictOne(session);
    }

    boolean contains(ClientSession session) {
        return sessions.contains(session);
    }

    /** A copy of the set of sessions, unaffected by later changes. */
    List<ClientSession> snapshot() {
        return List.copyOf(sessions);
    }

    /** True if there are more sessions than half of the limit. */
    boolean isOverHalfFull() {
        return sessions.size() > maxSessions / 2;
    }

    private boolean isOverLimit() {
        return sessions.size() - pendingCloses > maxSessions;
    }

    /**
     * Evicts the session that comes first by {@link ClientSession#isEvictedBefore}, other than the new one; false if
     * none is evictable.
     */
    private boolean evictOne(ClientSession newSession) {
        ClientSession candidate = null;
        for (ClientSession session : sessions) {
            if (session != newSession
                    && session.isEvictable()
                    && (candidate == null || session.isEvictedBefore(candidate))) {
                candidate = session;
            }
        }
        if (candidate == null) {
            return false;
        }
        if (candidate.isLingering()) {
            candidate.connection.terminateSilently();
            onClosed(candidate);
        } else {
            closeUnlessBusy(candidate, CloseReason.EVICTED);
        }
        return true;
    }

    /**
     * Closes an idle session after its pending input is read. If that input has a message, even an incomplete one, the
     * session stays open, and another one is evicted if the limit is exceeded.
     */
    void closeUnlessBusy(ClientSession session, CloseReason reason) {
        if (session.closePending) {
            return;
        }
        session.closePending = true;
        pendingCloses++;
        session.closeUnlessBusy(reason, () -> loop.execute(() -> onStillBusy(session)));
    }

    private void onStillBusy(ClientSession session) {
        clearPendingClose(session);
        if (isOverLimit()) {
            evictOne(session);
        }
    }

    private void clearPendingClose(ClientSession session) {
        if (session.closePending) {
            session.closePending = false;
            pendingCloses--;
        }
    }

    /** Removes a session whose connection has closed or is being terminated, and abandons its commands. */
    void onClosed(ClientSession session) {
        clearPendingClose(session);
        if (sessions.remove(session)) {
            closeLog.record(session, session.commands.size());
            if (!session.commands.isEmpty()) {
                counters.countClosedUnanswered();
            }
            requests.abandon(session, AbandonReason.CLOSED);
        }
    }
}
