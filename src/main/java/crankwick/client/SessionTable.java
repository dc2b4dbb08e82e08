package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The sessions of a listener: their number is limited, and those at the limit are evicted. Lives on the loop. */
final class SessionTable {
    private final EventLoop loop;
    private final CodecFilter codec;
    private final OpenRequests requests;
    private final ClientCounters counters;
    private final int maxSessions;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    /** Sessions that are to be closed unless a command has just been read from them. */
    private int closeRequests;

    SessionTable(EventLoop loop, CodecFilter codec, OpenRequests requests, ClientCounters counters, int maxSessions) {
        this.loop = loop;
        this.codec = codec;
        this.requests = requests;
        this.counters = counters;
        this.maxSessions = maxSessions;
    }

    /** Adds a session; false if there are too many and none could be evicted for it. */
    boolean add(ClientSession session) {
        sessions.add(session);
        return !isOverLimit() || evictOne(session);
    }

    boolean contains(ClientSession session) {
        return sessions.contains(session);
    }

    /** All sessions, unaffected by what comes and goes later. */
    List<ClientSession> snapshot() {
        return List.copyOf(sessions);
    }

    /** True if more than half of the limit is used. */
    boolean isCrowded() {
        return sessions.size() > maxSessions / 2;
    }

    private boolean isOverLimit() {
        return sessions.size() - closeRequests > maxSessions;
    }

    /** Evicts a lingering session, else one that has never sent a command, else the longest idle. */
    private boolean evictOne(ClientSession newcomer) {
        ClientSession candidate = null;
        for (ClientSession session : sessions) {
            if (session != newcomer
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

    /** Closes an idle session, unless a command has just been read from it; then another is evicted. */
    void closeUnlessBusy(ClientSession session) {
        if (session.closeRequested) {
            return;
        }
        session.closeRequested = true;
        closeRequests++;
        session.closeUnlessBusy(codec, () -> loop.execute(() -> onStillBusy(session)));
    }

    private void onStillBusy(ClientSession session) {
        forgetCloseRequest(session);
        if (isOverLimit()) {
            evictOne(session);
        }
    }

    private void forgetCloseRequest(ClientSession session) {
        if (session.closeRequested) {
            session.closeRequested = false;
            closeRequests--;
        }
    }

    /** The session's connection has ended. */
    void onClosed(ClientSession session) {
        forgetCloseRequest(session);
        if (sessions.remove(session)) {
            if (!session.commands.isEmpty()) {
                counters.countClosedUnanswered();
            }
            requests.abandon(session, AbandonReason.CLOSED);
        }
    }
}
