package crankwick.net;

import crankwick.RouterApi.Repeat;
import crankwick.RouterApi.RequestClass;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Call;
import crankwick.broker.LeaveCause;
import crankwick.broker.Reply;
import crankwick.statement.Statement;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
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
 * commands, each a {@link ClientCommand}; what is ready behind one that is not answered waits.
 *
 * <p>What a client may hold is bounded: reading stops while too much is not answered, who does not ask, go on
 * or read in time is let go, and at the cap those make room who need it least. A command that has been read
 * is never closed upon: connections end on the thread that reads from them.
 */
public final class ClientFront {
    private static final Logger LOG = LoggerFactory.getLogger(ClientFront.class);
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

    private final EffectRunner runner;
    private final List<RequestClass> classes;
    private final Map<String, Integer> classNames = new HashMap<>();
    private final Predicate<String> teams;
    private final int maxSessions;
    private final Attribute<ClientSession> ofConnection = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            getClass().getName() + '@' + System.identityHashCode(this));
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final Map<Long, ClientCommand> open = new HashMap<>();
    /** Connections with a descriptor, counted where they come and go; {@link #sessions} follows later. */
    private int held;

    private boolean full;
    private CodecFilter codec;
    private final FrontCounters counters = new FrontCounters();
    private volatile TCPNIOServerConnection listener;
    private long lastRef;
    /** Sessions that are to be closed unless a command has just been read from them. */
    private int closeRequests;

    private boolean ready;
    private boolean closing;
    /** By then all has to be answered: a request that still comes in may want more time than is left. */
    private long answerBy = Long.MAX_VALUE;

    /** {@code teams} says which logins are known. */
    public ClientFront(
            EffectRunner runner,
            List<RequestClass> classes,
            List<String> names,
            Predicate<String> teams,
            int maxSessions) {
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
        for (ClientSession session : List.copyOf(sessions)) {
            for (ClientCommand command : session.commands) {
                if (command.statement == null && command.reply == null) {
                    command.reply = new FrontReply.Nothing();
                }
            }
            flush(session);
        }
    }

    /** Stops listening; each connection ends once all that came in on it is answered, which is by then. */
    public void close(long latest) {
        closing = true;
        answerBy = latest;
        runner.loop().after(Math.max(0, latest - runner.clock().now()), this::stopReading);
        if (listener != null) {
            listener.closeSilently();
        }
        for (ClientSession session : List.copyOf(sessions)) {
            flush(session);
        }
    }

    /**
     * No time is left: who waits longer than this has failed, and what clients send on connections that never
     * become idle is left unread.
     */
    private void stopReading() {
        for (long ref : List.copyOf(open.keySet())) {
            runner.tell(new BrokerEvent.DeadlineDue(ref));
        }
        for (ClientSession session : List.copyOf(sessions)) {
            session.stopReading();
            flush(session);
        }
    }

    /** True once the last connection has ended, also of those that the loop has not heard of yet. */
    public synchronized boolean isEmpty() {
        return held == 0;
    }

    /** Where it listens; a port that was left open has been chosen by now. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** What has been counted of client connections, for a line in the log. */
    public String counters() {
        return counters.toString();
    }

    ClientCommand command(long ref) {
        return open.get(ref);
    }

    void answer(long ref, Reply reply) {
        ClientCommand command = open.remove(ref);
        if (command != null) {
            command.reply = new FrontReply.Final(reply);
            flush(command.session);
        }
    }

    private void onAccepted(ClientSession session) {
        session.idleSince = runner.clock().now();
        sessions.add(session);
        if (isOverCap() && !makeRoom(session)) {
            counters.turnedAway.incrementAndGet();
            end(session, new FrontReply.Fatal(FrontReply.Cause.TOO_MANY, "too many connections"));
        }
    }

    private boolean isOverCap() {
        return sessions.size() - closeRequests > maxSessions;
    }

    /** Lets go who has had its last words, else who has never asked, else who has been idle longest. */
    private boolean makeRoom(ClientSession newcomer) {
        ClientSession least = null;
        for (ClientSession session : sessions) {
            boolean candidate =
                    session != newcomer && !session.closeRequested && (session.cutAt > 0 || session.isIdle());
            if (candidate && (least == null || session.needsLessThan(least))) {
                least = session;
            }
        }
        if (least == null) {
            return false;
        }
        if (least.cutAt > 0) {
            least.connection.terminateSilently();
            onClosed(least);
        } else {
            closeUnlessBusy(least);
        }
        return true;
    }

    /** Ends an idle connection, unless a command has just been read from it; then another makes room. */
    private void closeUnlessBusy(ClientSession session) {
        if (session.closeRequested) {
            return;
        }
        session.closeRequested = true;
        closeRequests++;
        session.closeUnlessBusy(codec, () -> runner.loop().execute(() -> {
            forgetCloseRequest(session);
            if (isOverCap()) {
                makeRoom(session);
            }
        }));
    }

    private void forgetCloseRequest(ClientSession session) {
        if (session.closeRequested) {
            session.closeRequested = false;
            closeRequests--;
        }
    }

    private void onMessage(ClientSession session, FrontMessage message, long readAt) {
        long number = session.nextMessage();
        if (session.ending || !sessions.contains(session)) {
            session.settled(message.bytes());
        } else if (message instanceof FrontMessage.Query m) {
            session.asked = true;
            onQuery(session, m, number, readAt);
        } else if (message instanceof FrontMessage.Empty) {
            session.asked = true;
            add(session, message, number, null, ready ? new FrontReply.Nothing() : null);
        } else if (message instanceof FrontMessage.Login m) {
            if (teams.test(m.team())) {
                session.team = m.team();
                add(session, message, number, null, new FrontReply.Welcome());
            } else {
                last(session, FrontReply.Cause.UNKNOWN_TEAM, "unknown team");
            }
        } else if (message instanceof FrontMessage.Attention) {
            abandon(session, LeaveCause.CANCELLED);
            add(session, message, number, null, new FrontReply.AttentionHeard());
        } else if (message instanceof FrontMessage.Broken m) {
            LOG.debug("client {}: {}", session.connection.getPeerAddress(), m.fault());
            last(session, FrontReply.Cause.BROKEN, m.fault());
        } else {
            session.ending = true;
            session.settled(message.bytes());
            flush(session);
        }
    }

    private void onQuery(ClientSession session, FrontMessage.Query query, long number, long readAt) {
        try {
            Statement statement = Statement.parse(query.text());
            Integer cls = classNames.get(statement.cls());
            if (cls == null) {
                throw new IllegalArgumentException("c names no class");
            }
            if (classes.get(cls).repeat() == Repeat.KEYED && statement.key() == null) {
                throw new IllegalArgumentException("k is missing");
            }
            ClientCommand command = add(session, query, number, statement, null);
            // The client has been waiting since its command was read; the loop may have been late since.
            long now = runner.clock().now();
            long left = Math.min(readAt + statement.waitMs() * 1_000, answerBy) - now;
            long after = statement.after() > 0 ? statement.after() * 1_000 : -1;
            runner.tell(new BrokerEvent.Taken(new Call(
                    command.ref,
                    statement.id(),
                    session.team,
                    cls,
                    statement.cluster(),
                    statement.sessionNumber(),
                    after,
                    Math.max(1, left),
                    statement.key(),
                    query.bytes())));
        } catch (IllegalArgumentException e) {
            add(session, query, number, null, new FrontReply.Unreadable(e.getMessage()));
        }
    }

    private ClientCommand add(
            ClientSession session, FrontMessage message, long number, Statement statement, FrontReply reply) {
        ClientCommand command = new ClientCommand(session, ++lastRef, statement, number, message.bytes());
        command.reply = reply;
        session.commands.add(command);
        if (statement != null) {
            open.put(command.ref, command);
        }
        flush(session);
        return command;
    }

    /** The last words come in their place: what was taken before is answered first. */
    private void last(ClientSession session, FrontReply.Cause cause, String fault) {
        counters.protocolErrors.incrementAndGet();
        session.ending = true;
        ClientCommand words = new ClientCommand(session, ++lastRef, null, 0, 0);
        words.reply = new FrontReply.Fatal(cause, fault);
        session.commands.add(words);
        flush(session);
    }

    /** The client is owed nothing of what it has asked so far. */
    private void abandon(ClientSession session, LeaveCause cause) {
        List<ClientCommand> left = new ArrayList<>(session.commands);
        session.commands.clear();
        for (ClientCommand command : left) {
            session.settled(command.bytes);
            if (open.remove(command.ref) != null) {
                runner.tell(new BrokerEvent.Left(command.ref, cause));
            }
        }
    }

    private void flush(ClientSession session) {
        while (!session.commands.isEmpty() && session.commands.peek().reply != null) {
            ClientCommand command = session.commands.poll();
            session.idleSince = runner.clock().now();
            if (command.reply instanceof FrontReply.Fatal) {
                end(session, command.reply);
            } else {
                write(session, command);
            }
        }
        if (session.ending && session.isIdle()) {
            session.cutAt = runner.clock().now() + LINGER;
            session.connection.closeSilently();
        } else if (closing && session.isIdle()) {
            closeUnlessBusy(session);
        }
    }

    private void write(ClientSession session, ClientCommand command) {
        session.writing(runner.clock().now());
        var whenWritten = new EmptyCompletionHandler<WriteResult<FrontReply, SocketAddress>>() {
            @Override
            public void completed(WriteResult<FrontReply, SocketAddress> result) {
                session.written(runner.clock().now());
                session.settled(command.bytes);
            }

            @Override
            public void failed(Throwable fault) {
                // Guards against a client that does not read: its unwritten answers must not pile up.
                session.connection.terminateSilently();
            }
        };
        session.connection.write(command.reply, whenWritten);
    }

    /** Says the last words and ends the sending; then the client has some time to take them and to close. */
    private void end(ClientSession session, FrontReply words) {
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

    private void onClosed(ClientSession session) {
        forgetCloseRequest(session);
        if (sessions.remove(session)) {
            if (!session.commands.isEmpty()) {
                counters.closedWhileOwed.incrementAndGet();
            }
            abandon(session, LeaveCause.CLOSED);
        }
    }

    /** Lets go who does not ask, go on or read in time, and who has been idle for long. */
    private void sweep() {
        long now = runner.clock().now();
        long idle = sessions.size() > maxSessions / 2 ? IDLE_CROWDED : IDLE;
        for (ClientSession session : List.copyOf(sessions)) {
            if (session.cutAt > 0 ? session.cutAt < now : session.isUnread(now - UNREAD)) {
                session.connection.terminateSilently();
            } else if (!session.ending && codec.stalled(session.connection, STALL)) {
                last(session, FrontReply.Cause.BROKEN, "a command without its end");
            } else if (!session.ending && session.isIdle()) {
                endIdle(session, now, idle);
            }
        }
        runner.loop().after(SWEEP_EVERY, this::sweep);
    }

    private void endIdle(ClientSession session, long now, long idle) {
        if (closing || session.asked && session.idleSince < now - idle) {
            closeUnlessBusy(session);
        } else if (!session.asked && session.idleSince < now - FIRST_COMMAND && !session.isOwedAnAnswer()) {
            last(session, FrontReply.Cause.BROKEN, "no command in time");
        }
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
            ClientSession session = new ClientSession(connection, counters);
            counters.accepted.incrementAndGet();
            ofConnection.set(connection, session);
            hold(1);
            runner.loop().execute(() -> onAccepted(session));
            return context.getStopAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            ClientSession session = ofConnection.peek(Transport.connection(context));
            List<FrontMessage> messages = context.getMessage();
            long readAt = runner.clock().now();
            session.read(messages);
            runner.loop().execute(() -> messages.forEach(message -> onMessage(session, message, readAt)));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ClientSession session = ofConnection.peek(Transport.connection(context));
            if (session != null) {
                session.closed();
                hold(-1);
                runner.loop().execute(() -> onClosed(session));
            }
            return context.getStopAction();
        }
    }
}
