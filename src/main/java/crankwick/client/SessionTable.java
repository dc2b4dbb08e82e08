package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The sessions of a listener. Above the limit, sessions are evicted. Confined to the event loop. */
final class SessionTable {
    private final EventLoop loop;
    private final CodecFilter codec;
    private final OpenRequests requests;
    private final ClientCounters counters;
    private final int maxSessions;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    /** The number of sessions with {@link ClientSession#closePending} set. */
    private int pendingCloses;

    SessionTable(EventLoop loop, CodecFilter codec, OpenRequests requests, ClientCounters counters, int maxSessions) {
        this.loop = loop;
        this.codec = codec;
        this.requests = requests;
        this.counters = counters;
        this.maxSessions = maxSessions;
    }

    /** Adds a session; returns false if the limit is exceeded and no other session can be evicted. */
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

    /** True if more than half of the limit is used. */
    boolean isOverHalfFull() {
        return sessions.size() > maxSessions / 2;
    }

    private boolean isOverLimit() {
        return sessions.size() - pendingCloses > maxSessions;
    }

    /** Evicts a lingering session, otherwise one that has never sent a command, otherwise the longest idle. */
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
            closeUnlessBusy(candidate);
        }
        return true;
    }

    /** Closes an idle session. If a command has just been read from it, evicts another if over the limit. */
    void closeUnlessBusy(ClientSession session) {
        if (session.closePending) {
            return;
        }
        session.closePending = true;
        pendingCloses++;
        session.closeUnlessBusy(codec, () -> loop.execute(() -> onStillBusy(session)));
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

    /** The session's connection has closed. */
    void onClosed(ClientSession session) {
        clearPendingClose(session);
        if (sessions.remove(session)) {
            if (!session.commands.isEmpty()) {
                counters.countClosedUnanswered();
            }
            requests.abandon(session, AbandonReason.CLOSED);
        }
    }
}
