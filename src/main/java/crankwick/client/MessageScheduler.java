package crankwick.client;

import crankwick.transport.EventLoop;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Processes the messages of all sessions in turns, so that a client that sends at full speed delays only itself. A
 * session whose messages were all processed gets its next turn before those that have a backlog. Other tasks of the
 * event loop run between the turns.
 */
final class MessageScheduler {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_MESSAGES_PER_TURN = 16;
    /** A turn ends after the message during which this time has passed. */
    private static final long MAX_TURN_NANOS = 200_000;
    /** A larger message takes long enough to parse that sessions with small ones go first. */
    private static final int MAX_SMALL_MESSAGE_BYTES = 4 * 1_024;

    private static final int MAX_RESUMED_SESSIONS = 4;
    /** How long turns may occupy the event loop before its other tasks run. */
    private static final long MAX_RUN_NANOS = 1_000_000;

    /** Processes one entry of a session; called on the event loop. */
    interface Handler {
        /** Called before the first message of a session. */
        void onAccepted(ClientSession session);

        /** Whether the session's next message must wait until a request, of this or another session, is finished. */
        boolean mustWait(ClientSession session);

        /** Called before the messages of a turn. */
        void beginTurn(ClientSession session);

        /** Called after the messages of a turn. */
        void endTurn(ClientSession session);

        /** Called for each message, or for several that share an entry. */
        void onMessage(ClientSession session, ReceivedMessage received);

        /** Called when a session's connection has closed, before the messages that other clients have sent since. */
        void onClosed(ClientSession session);
    }

    private final EventLoop loop;
    private final Handler handler;
    private final ClientCounters counters;
    /** Sessions whose messages have arrived since they last had none; added to by the selector thread. */
    private final Queue<ClientSession> arrived = new ConcurrentLinkedQueue<>();

    /** Sessions whose connections have closed; added to by the selector thread. */
    private final Queue<ClientSession> closed = new ConcurrentLinkedQueue<>();

    private final ArrayDeque<ClientSession> backlogged = new ArrayDeque<>();
    /** Sessions whose next message must wait until requests are finished. */
    private final ArrayDeque<ClientSession> waiting = new ArrayDeque<>();
    /** Whether a run is queued on the event loop or in progress. */
    private final AtomicBoolean runQueued = new AtomicBoolean();

    MessageScheduler(EventLoop loop, Handler handler, ClientCounters counters) {
        this.loop = loop;
        this.handler = handler;
        this.counters = counters;
    }

    /** Schedules a session that has been accepted or has unprocessed messages. Safe on any thread. */
    void schedule(ClientSession session) {
        if (session.inbox.markScheduled()) {
            session.queuedAtNanos = System.nanoTime();
            arrived.add(session);
            queueRun();
        }
    }

    /** Schedules a session that has more replies ready than were written at once. Called on the event loop. */
    void scheduleReplies(ClientSession session) {
        session.inbox.markScheduled();
        addBacklogged(session);
        queueRun();
    }

    /** Schedules the end of a session whose connection has closed. Safe on any thread. */
    void scheduleClosed(ClientSession session) {
        closed.add(session);
        queueRun();
    }

    private void queueRun() {
        if (runQueued.compareAndSet(false, true)) {
            loop.execute(this::run);
        }
    }

    private void run() {
        long startNanos = System.nanoTime();
        try {
            for (ClientSession session = next(); session != null; session = next()) {
                takeTurn(session);
                if (System.nanoTime() - startNanos > MAX_RUN_NANOS) {
                    return;
                }
            }
        } finally {
            runQueued.set(false);
            if (!backlogged.isEmpty() || !arrived.isEmpty() || !closed.isEmpty()) {
                queueRun();
            }
        }
    }

    /**
     * The session whose turn it is: one that has become ready with a small message, or else the one that has waited
     * longest with a large message or a backlog.
     */
    private ClientSession next() {
        for (ClientSession session = closed.poll(); session != null; session = closed.poll()) {
            session.register();
            handler.onClosed(session);
        }
        for (ClientSession session = arrived.poll(); session != null; session = arrived.poll()) {
            if (session.inbox.nextMessageBytes() <= MAX_SMALL_MESSAGE_BYTES) {
                return session;
            }
            backlogged.add(session);
        }
        return backlogged.poll();
    }

    private void takeTurn(ClientSession session) {
        long startNanos = System.nanoTime();
        counters.recordTurnWait(millisSince(session.queuedAtNanos));
        session.repliesLeft = false;
        try {
            if (session.register()) {
                handler.onAccepted(session);
            }
            handler.beginTurn(session);
            for (int messages = 0; messages < MAX_MESSAGES_PER_TURN; messages++) {
                ReceivedMessage received = handler.mustWait(session) ? null : session.inbox.poll();
                if (received == null) {
                    break;
                }
                handler.onMessage(session, received);
                if (System.nanoTime() - startNanos > MAX_TURN_NANOS) {
                    break;
                }
            }
        } finally {
            handler.endTurn(session);
            if (!session.repliesLeft && !session.inbox.unmarkScheduledIfEmpty()) {
                scheduleNextTurn(session);
            }
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }

    private void scheduleNextTurn(ClientSession session) {
        if (!handler.mustWait(session)) {
            addBacklogged(session);
        } else if (!session.waitsForRequests) {
            session.waitsForRequests = true;
            session.queuedAtNanos = System.nanoTime();
            waiting.add(session);
        }
    }

    private void addBacklogged(ClientSession session) {
        session.queuedAtNanos = System.nanoTime();
        backlogged.add(session);
    }

    /** Lets some of the waiting sessions check again whether they must wait. Called when a request is finished. */
    void onRequestFinished() {
        for (int sessions = 0; sessions < MAX_RESUMED_SESSIONS && !waiting.isEmpty(); sessions++) {
            ClientSession session = waiting.poll();
            session.waitsForRequests = false;
            counters.recordWindowWait(millisSince(session.queuedAtNanos));
            addBacklogged(session);
        }
        if (!backlogged.isEmpty()) {
            queueRun();
        }
    }
}
