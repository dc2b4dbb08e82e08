package crankwick.net;

import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.RequestClass;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Call;
import crankwick.broker.Reply;
import crankwick.statement.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A front: owns the client connections of one wire. On each connection the answers keep the order of the
 * commands; a command's place is a {@link Slot}, and what lies ready behind an open slot waits.
 *
 * <p>What a client may hold is bounded: reading stops while {@link #MAX_PENDING} commands are not answered,
 * who does not ask, go on or read in time is let go, and at the cap those make room who need it least.
 */
public final class ClientFront {
    private static final Logger LOG = LoggerFactory.getLogger(ClientFront.class);
    private static final int MAX_PENDING = 64;
    /** From its coming up, a connection has so long to ask something; a command so long to come in whole. */
    private static final long FIRST_COMMAND = 2_000_000;
    private static final long STALL = 2_000_000;
    /** Answers that a client has not taken for so long end its connection. */
    private static final long UNREAD = 5_000_000;
    /** How long a connection is kept without a command; the second where they are more than half the cap. */
    private static final long IDLE = 10_000_000;
    private static final long IDLE_CROWDED = 2_000_000;
    /** After the last words, what comes in is dropped for so long: a reset would destroy those words. */
    private static final long LINGER = 2_000_000;
    private static final long SWEEP_EVERY = 100_000;
    /** Connections over the cap until the loop has let others go; with more, no further one is accepted. */
    private static final int SPARE = 16;

    /** A command's place among the answers; {@code reply} is null until there is one. */
    private static final class Slot {
        final long ref;
        final Statement statement;
        final Session session;
        FrontReply reply;

        Slot(Session session, long ref, Statement statement) {
            this.session = session;
            this.ref = ref;
            this.statement = statement;
        }
    }

    /** One client connection. */
    private static final class Session {
        final Connection<SocketAddress> connection;
        final Deque<Slot> slots = new ArrayDeque<>();
        String team;
        boolean asked;
        /** No command is taken any more: the connection ends behind the answers that are owed. */
        boolean ending;
        long idleSince;
        /** When a connection that has had its last words is cut; 0 before. */
        long cutAt;
        private int pending;
        private boolean paused;
        private int unwritten;
        private long unwrittenSince;

        Session(Connection<SocketAddress> connection) {
            this.connection = connection;
        }

        /** Commands have come in: with too many not answered, no more is read. Where it reads. */
        synchronized void took(int commands) {
            pending += commands;
            if (!paused && pending >= MAX_PENDING) {
                paused = true;
                Transport.toggle(connection, IOEvent.READ, false);
            }
        }

        /** A command's answer is written, or none is owed. */
        synchronized void settled() {
            pending--;
            if (paused && pending <= MAX_PENDING / 2) {
                paused = false;
                Transport.toggle(connection, IOEvent.READ, true);
            }
        }

        synchronized void writing(long now) {
            unwrittenSince = unwritten++ == 0 ? now : unwrittenSince;
        }

        synchronized void written(long now) {
            unwritten--;
            unwrittenSince = now;
        }

        synchronized boolean isUnread(long since) {
            return unwritten > 0 && unwrittenSince < since;
        }

        boolean isIdle() {
            return slots.isEmpty() && cutAt == 0;
        }

        /** Who is at its end needs its place least, then who has never asked, then the longest idle. */
        boolean needsLessThan(Session other) {
            return need() != other.need() ? need() < other.need() : idleSince < other.idleSince;
        }

        private int need() {
            return cutAt > 0 ? 0 : asked ? 2 : 1;
        }
    }

    private final EffectRunner runner;
    private final List<RequestClass> classes;
    private final Map<String, Integer> classNames = new HashMap<>();
    private final Predicate<String> teams;
    private final int maxSessions;
    private final Attribute<Session> ofConnection = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Map<Long, Slot> open = new HashMap<>();
    /** Connections with a descriptor, counted where they come and go; {@link #sessions} follows later. */
    private int held;
    private boolean full;
    private CodecFilter codec;
    private volatile TCPNIOServerConnection listener;
    private long lastRef;
    private boolean ready;
    private boolean closing;
    /** By then all has to be answered: a request that still comes in may want more time than is left. */
    private long answerBy = Long.MAX_VALUE;

    /** {@code teams} says which logins are known. */
    public ClientFront(EffectRunner runner, List<RequestClass> classes, List<String> names,
            Predicate<String> teams, int maxSessions) {
        this.runner = runner;
        this.classes = classes;
        this.teams = teams;
        this.maxSessions = maxSessions;
        for (int i = 0; i < names.size(); i++) {
            classNames.put(names.get(i), i);
        }
    }

    /** Listens, with this wire's codec. */
    public void listen(Transport transport, InetSocketAddress address, CodecFilter wire) throws IOException {
        codec = wire;
        listener = transport.bind(address, wire, new Receiver());
        LOG.info("listening on {}", listener.getLocalAddress());
        runner.loop().after(SWEEP_EVERY, this::sweep);
    }

    /** From now on the empty query is answered, those that wait first. */
    public void ready() {
        ready = true;
        for (Session session : List.copyOf(sessions)) {
            for (Slot slot : session.slots) {
                if (slot.statement == null && slot.reply == null) {
                    slot.reply = new FrontReply.Nothing();
                }
            }
            flush(session);
        }
    }

    /** Stops listening; each connection ends once all that came in on it is answered, which is by then. */
    public void close(long latest) {
        closing = true;
        answerBy = latest;
        if (listener != null) {
            listener.closeSilently();
        }
        for (Session session : List.copyOf(sessions)) {
            flush(session);
        }
    }

    /** True once the last connection has ended. */
    public boolean isEmpty() {
        return sessions.isEmpty();
    }

    Statement statement(long ref) {
        return open.get(ref).statement;
    }

    void answer(long ref, Reply reply) {
        Slot slot = open.remove(ref);
        if (slot != null) {
            slot.reply = new FrontReply.Final(reply);
            flush(slot.session);
        }
    }

    private void onAccepted(Session session) {
        session.idleSince = runner.clock().now();
        sessions.add(session);
        if (sessions.size() > maxSessions && !makeRoom(session)) {
            end(session, new FrontReply.Fatal(FrontReply.Cause.TOO_MANY, "too many connections"));
        }
    }

    /** Lets go who has had its last words, else who has never asked, else who has been idle longest. */
    private boolean makeRoom(Session newcomer) {
        Session least = null;
        for (Session session : sessions) {
            boolean candidate = session != newcomer && (session.cutAt > 0 || session.isIdle());
            if (candidate && (least == null || session.needsLessThan(least))) {
                least = session;
            }
        }
        if (least != null) {
            least.connection.terminateSilently();
            onClosed(least);
        }
        return least != null;
    }

    private void onMessage(Session session, FrontMessage message) {
        if (session.ending || !sessions.contains(session)) {
            session.settled();
        } else if (message instanceof FrontMessage.Query m) {
            session.asked = true;
            onQuery(session, m.text());
        } else if (message instanceof FrontMessage.Empty) {
            session.asked = true;
            add(session, null, ready ? new FrontReply.Nothing() : null);
        } else if (message instanceof FrontMessage.Login m) {
            if (teams.test(m.team())) {
                session.team = m.team();
                add(session, null, new FrontReply.Welcome());
            } else {
                last(session, FrontReply.Cause.UNKNOWN_TEAM, "unknown team");
            }
        } else if (message instanceof FrontMessage.Attention) {
            abandon(session);
            add(session, null, new FrontReply.AttentionHeard());
        } else if (message instanceof FrontMessage.Broken m) {
            LOG.debug("client {}: {}", session.connection.getPeerAddress(), m.fault());
            last(session, FrontReply.Cause.BROKEN, m.fault());
        } else {
            session.ending = true;
            session.settled();
            flush(session);
        }
    }

    private void onQuery(Session session, String text) {
        try {
            Statement statement = Statement.parse(text);
            Integer cls = classNames.get(statement.cls());
            if (cls == null) {
                throw new IllegalArgumentException("c names no class");
            }
            if (classes.get(cls).repeat() == Repeat.KEYED && statement.key() == null) {
                throw new IllegalArgumentException("k is missing");
            }
            Slot slot = add(session, statement, null);
            long wait = Math.min(statement.waitMs() * 1_000,
                    Math.max(1, answerBy - runner.clock().now()));
            long after = statement.after() > 0 ? statement.after() * 1_000 : -1;
            runner.tell(new BrokerEvent.Taken(new Call(slot.ref, statement.id(), session.team, cls,
                    statement.cluster(), statement.sessionNumber(), after, wait, statement.key(),
                    text.length())));
        } catch (IllegalArgumentException e) {
            add(session, null, new FrontReply.Unreadable(e.getMessage()));
        }
    }

    private Slot add(Session session, Statement statement, FrontReply reply) {
        Slot slot = new Slot(session, ++lastRef, statement);
        slot.reply = reply;
        session.slots.add(slot);
        if (statement != null) {
            open.put(slot.ref, slot);
        }
        flush(session);
        return slot;
    }

    /** The last words come in their place: what was taken before is answered first. */
    private void last(Session session, FrontReply.Cause cause, String fault) {
        session.ending = true;
        add(session, null, new FrontReply.Fatal(cause, fault));
    }

    /** The client is owed nothing of what it has asked so far. */
    private void abandon(Session session) {
        List<Slot> left = new ArrayList<>(session.slots);
        session.slots.clear();
        for (Slot slot : left) {
            session.settled();
            if (open.remove(slot.ref) != null) {
                runner.tell(new BrokerEvent.Left(slot.ref));
            }
        }
    }

    private void flush(Session session) {
        while (!session.slots.isEmpty() && session.slots.peek().reply != null) {
            FrontReply reply = session.slots.poll().reply;
            session.idleSince = runner.clock().now();
            if (reply instanceof FrontReply.Fatal) {
                end(session, reply);
            } else {
                write(session, reply);
            }
        }
        if ((closing || session.ending) && session.isIdle()) {
            session.ending = true;
            session.cutAt = runner.clock().now() + LINGER;
            session.connection.closeSilently();
        }
    }

    private void write(Session session, FrontReply reply) {
        session.writing(runner.clock().now());
        session.connection.write(reply, new EmptyCompletionHandler<WriteResult<FrontReply, SocketAddress>>() {
            @Override
            public void completed(WriteResult<FrontReply, SocketAddress> result) {
                session.written(runner.clock().now());
                session.settled();
            }

            @Override
            public void failed(Throwable fault) {
                // Guards against a client that does not read: its unwritten answers must not pile up.
                session.connection.terminateSilently();
            }
        });
    }

    /** Says the last words and ends the sending; then the client has some time to take them and to close. */
    private void end(Session session, FrontReply words) {
        session.ending = true;
        session.cutAt = runner.clock().now() + LINGER;
        session.connection.write(words, new EmptyCompletionHandler<WriteResult<FrontReply, SocketAddress>>() {
            @Override
            public void completed(WriteResult<FrontReply, SocketAddress> result) {
                Transport.endSending(session.connection);
            }

            @Override
            public void failed(Throwable fault) {
                session.connection.terminateSilently();
            }
        });
    }

    private void onClosed(Session session) {
        if (sessions.remove(session)) {
            abandon(session);
        }
    }

    /** Lets go who does not ask, go on or read in time, and who has been idle for long. */
    private void sweep() {
        long now = runner.clock().now();
        long idle = sessions.size() > maxSessions / 2 ? IDLE_CROWDED : IDLE;
        for (Session session : List.copyOf(sessions)) {
            if (session.cutAt > 0 ? session.cutAt < now : session.isUnread(now - UNREAD)) {
                session.connection.terminateSilently();
            } else if (!session.ending && codec.stalled(session.connection, STALL)) {
                last(session, FrontReply.Cause.BROKEN, "a command without its end");
            } else if (!session.ending && session.isIdle() && session.asked) {
                session.ending = session.idleSince < now - idle;
                flush(session);
            } else if (!session.ending && session.isIdle() && session.idleSince < now - FIRST_COMMAND) {
                last(session, FrontReply.Cause.BROKEN, "no command in time");
            }
        }
        runner.loop().after(SWEEP_EVERY, this::sweep);
    }

    /** Connections come and go on the transport's threads; a descriptor too many would fail the process. */
    private synchronized void hold(int more) {
        held += more;
        if (full != held > maxSessions + SPARE) {
            full = !full;
            Transport.toggle(listener, IOEvent.SERVER_ACCEPT, !full);
        }
    }

    /** The chain's last filter: passes what the codec has read on to the loop. */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            Session session = new Session(connection);
            ofConnection.set(connection, session);
            hold(1);
            runner.loop().execute(() -> onAccepted(session));
            return context.getStopAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Session session = ofConnection.peek(Transport.connection(context));
            List<FrontMessage> messages = context.getMessage();
            session.took(messages.size());
            runner.loop().execute(() -> messages.forEach(message -> onMessage(session, message)));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Session session = ofConnection.peek(Transport.connection(context));
            if (session != null) {
                hold(-1);
                runner.loop().execute(() -> onClosed(session));
            }
            return context.getStopAction();
        }
    }
}
