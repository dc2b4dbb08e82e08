package crankwick.client;

import crankwick.transport.EventLoop;
import crankwick.transport.FairQueue;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Processes the messages of all sessions in turns, of which each session has an equal share ({@link FairQueue}): how
 * long one waits is bounded by the number of sessions, whatever the others send. Other tasks of the event loop run
 * between the turns.
 */
final class MessageScheduler {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_MESSAGES_PER_TURN = 16;
    /** A turn ends after the message during which this time has passed. */
    private static final long MAX_TURN_NANOS = 200_000;
    /** The work for a message beside that for its text, counted in bytes of text. */
    private static final long MESSAGE_COST_BYTES = 16 * 1_024;

    /** How many closed sessions are handled between two turns. */
    private static final int MAX_CLOSES_PER_TURN = 16;
    /** How many sessions, other than its own, a finished request lets continue. */
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

    /** Sessions that wait for their turn. */
    private final FairQueue<ClientSession> ready = new FairQueue<>(0);
    /** Sessions whose next message must wait until requests are finished, in the order in which they were checked. */
    private final Set<ClientSession> waiting = new LinkedHashSet<>();
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
        addReady(session);
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
            if (!ready.isEmpty() || !arrived.isEmpty() || !closed.isEmpty()) {
                queueRun();
            }
        }
    }

    /** Handles closed sessions, then returns the session whose turn it is; null if there is none. */
    private ClientSession next() {
        for (int closes = 0; closes < MAX_CLOSES_PER_TURN && !closed.isEmpty(); closes++) {
            onClosed(closed.poll());
        }
        for (ClientSession session = arrived.poll(); session != null; session = arrived.poll()) {
            ready.add(session.flow, nextCost(session));
        }
        return ready.poll();
    }

    private void onClosed(ClientSession session) {
        waiting.remove(session);
        session.register();
        handler.onClosed(session);
    }

    private static long nextCost(ClientSession session) {
        return MESSAGE_COST_BYTES + session.inbox.nextMessageBytes();
    }

    private void takeTurn(ClientSession session) {
        counters.recordTurnWait(millisSince(session.queuedAtNanos));
        session.repliesLeft = false;
        long cost = MESSAGE_COST_BYTES;
        try {
            if (session.register()) {
                handler.onAccepted(session);
            }
            handler.beginTurn(session);
            cost = Math.max(cost, processMessages(session));
        } finally {
            ready.charge(session.flow, cost);
            handler.endTurn(session);
            if (!session.repliesLeft && !session.inbox.unmarkScheduledIfEmpty()) {
                scheduleNextTurn(session);
            }
        }
    }

    /** Processes the messages of one turn and returns their cost. */
    private long processMessages(ClientSession session) {
        long startNanos = System.nanoTime();
        long cost = 0;
        for (int messages = 0; messages < MAX_MESSAGES_PER_TURN; messages++) {
            ReceivedMessage received = handler.mustWait(session) ? null : session.inbox.poll();
            if (received == null) {
                break;
            }
            cost += MESSAGE_COST_BYTES + received.message.bytes();
            handler.onMessage(session, received);
            if (System.nanoTime() - startNanos > MAX_TURN_NANOS) {
                break;
            }
        }
        return cost;
    }

    private void scheduleNextTurn(ClientSession session) {
        if (!handler.mustWait(session)) {
            addReady(session);
        } else if (waiting.add(session)) {
            session.queuedAtNanos = System.nanoTime();
        }
    }

    private void addReady(ClientSession session) {
        session.queuedAtNanos = System.nanoTime();
        ready.add(session.flow, nextCost(session));
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MILLI;
    }

    /**
     * Called when a request of a session is finished: lets that session continue if it need not wait any longer, and
     * some of the others, in turn. So a session waits for its own requests only.
     */
    void onRequestFinished(ClientSession session) {
        resumeUnlessMustWait(session);
        for (int sessions = 0; sessions < MAX_RESUMED_SESSIONS && !waiting.isEmpty(); sessions++) {
            ClientSession first = waiting.iterator().next();
            if (!resumeUnlessMustWait(first)) {
                waiting.remove(first);
                waiting.add(first);
            }
        }
    }

    private boolean resumeUnlessMustWait(ClientSession session) {
        boolean resumed = waiting.contains(session) && !handler.mustWait(session);
        if (resumed) {
            waiting.remove(session);
            counters.recordWindowWait(millisSince(session.queuedAtNanos));
            addReady(session);
            queueRun();
        }
        return resumed;
    }
}
