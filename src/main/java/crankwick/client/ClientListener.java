package crankwick.client;

import crankwick.broker.AbandonReason;
import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import crankwick.broker.ClientRequest;
import crankwick.broker.Reply;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoutingSettings;
import crankwick.statement.Statement;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
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
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
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
 * <p>What a client may hold is bounded: what it sends beyond that is refused in its place, who does not ask, go
 * on or read in time is let go, and at the cap those make room who need it least. A command that has been read
 * is never closed upon: connections end on the thread that reads from them.
 */
public final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
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

    /** Statements of commands that are open may take so much of the heap. */
    private static final long MAX_STATEMENT_BYTES = Runtime.getRuntime().maxMemory() / 6;
    /** Values of answers that are not written yet may take so much of the heap. */
    private static final long MAX_ANSWER_BYTES = Runtime.getRuntime().maxMemory() / 4;
    /** When a command beyond what a client may have open may come again, in microseconds. */
    private static final long EXCESS_RETRY_AFTER = 100_000;

    private final BrokerEventSink broker;
    private final EventLoop loop;
    private final Clock clock;
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
    private final ClientCounters counters = new ClientCounters();
    private final ByteBudget statementBudget = new ByteBudget(MAX_STATEMENT_BYTES);
    private final ByteBudget answerBudget = new ByteBudget(MAX_ANSWER_BYTES);
    private final AnswerWriter answers;
    private final Reply excessReply;
    private volatile TCPNIOServerConnection listener;
    private long lastRef;
    /** Sessions that are to be closed unless a command has just been read from them. */
    private int closeRequests;

    private boolean ready;
    private boolean closing;
    /** By then all has to be answered: a request that still comes in may want more time than is left. */
    private long answerBy = Long.MAX_VALUE;

    /** {@code names} are those of the settings' classes; {@code teams} says which logins are known. */
    public ClientListener(
            BrokerEventSink broker,
            EventLoop loop,
            Clock clock,
            RoutingSettings settings,
            List<String> names,
            Predicate<String> teams,
            int maxSessions) {
        this.broker = broker;
        this.loop = loop;
        this.clock = clock;
        this.classes = settings.requestClasses();
        answers = new AnswerWriter(loop, clock, LINGER, this::flush);
        long retryAfter = Math.min(EXCESS_RETRY_AFTER, settings.limits().maxRetryAfter());
        excessReply = new Reply.Rejected(
                Reply.Reason.OVER_OPEN_COMMANDS, settings.limits().retryAfterSupported() ? retryAfter : 0);
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
        loop.after(SWEEP_EVERY, this::sweep);
    }

    /** From now on the empty query is answered, those that wait first. */
    public void ready() {
        ready = true;
        for (ClientSession session : List.copyOf(sessions)) {
            for (ClientCommand command : session.commands) {
                if (command.statement == null && command.reply == null) {
                    command.reply = new ClientReply.Nothing();
                }
            }
            flush(session);
        }
    }

    /** Stops listening; each connection ends once all that came in on it is answered, which is by then. */
    public void close(long latest) {
        closing = true;
        answerBy = latest;
        loop.after(Math.max(0, latest - clock.now()), this::stopReading);
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
            broker.publish(new BrokerEvent.DeadlineReached(ref));
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
        return counters + " open_bytes=" + statementBudget.reserved() + " answer_bytes=" + answerBudget.reserved();
    }

    /** The open command of a request; null once it is answered or abandoned. */
    public ClientCommand command(long ref) {
        return open.get(ref);
    }

    /** Gives a request its reply. */
    public void answer(long ref, Reply reply) {
        ClientCommand command = open.remove(ref);
        if (command != null) {
            command.reply = heldAnswer(command.session, reply);
            flush(command.session);
        }
    }

    /** A read's answer for which there is no room is not kept: it may be asked for again. */
    private ClientReply heldAnswer(ClientSession session, Reply reply) {
        ClientReply answer = new ClientReply.Final(reply);
        if (!session.holdAnswer(answer.valueBytes())) {
            if (reply instanceof Reply.Served served && !served.write()) {
                counters.droppedAnswers.incrementAndGet();
                return new ClientReply.Final(excessReply);
            }
            session.holdAnswerAnyway(answer.valueBytes());
        }
        return answer;
    }

    private void onAccepted(ClientSession session) {
        session.idleSince = clock.now();
        sessions.add(session);
        if (isOverCap() && !makeRoom(session)) {
            counters.turnedAway.incrementAndGet();
            answers.end(session, new ClientReply.Fatal(ClientReply.Cause.TOO_MANY, "too many connections"));
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
        session.closeUnlessBusy(
                codec,
                () -> loop.execute(() -> {
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

    private void onMessage(ClientSession session, ClientMessage message, long readAt) {
        long number = session.nextMessage();
        if (session.ending || !sessions.contains(session)) {
            session.settled(message, 1);
        } else if (message instanceof ClientMessage.Query m) {
            session.asked = true;
            onQuery(session, m, number, readAt);
        } else if (message instanceof ClientMessage.Empty) {
            session.asked = true;
            add(session, message, number, readAt, null, ready ? new ClientReply.Nothing() : null);
        } else if (message instanceof ClientMessage.Excess) {
            refuseExcess(session, message, number, readAt);
        } else if (message instanceof ClientMessage.Login m) {
            if (teams.test(m.team())) {
                session.team = m.team();
                add(session, message, number, readAt, null, new ClientReply.Welcome());
            } else {
                last(session, ClientReply.Cause.UNKNOWN_TEAM, "unknown team");
            }
        } else if (message instanceof ClientMessage.Attention) {
            abandon(session, AbandonReason.CANCELLED);
            add(session, message, number, readAt, null, new ClientReply.AttentionHeard());
        } else if (message instanceof ClientMessage.Broken m) {
            LOG.debug("client {}: {}", session.connection.getPeerAddress(), m.fault());
            last(session, ClientReply.Cause.BROKEN, m.fault());
        } else {
            session.ending = true;
            session.settled(message, 1);
            flush(session);
        }
    }

    private void onQuery(ClientSession session, ClientMessage.Query query, long number, long readAt) {
        try {
            Statement statement = Statement.parse(query.text());
            Integer classIndex = classNames.get(statement.className());
            if (classIndex == null) {
                throw new IllegalArgumentException("c names no class");
            }
            if (classes.get(classIndex).idempotency() == Idempotency.WITH_KEY && statement.idempotencyKey() == null) {
                throw new IllegalArgumentException("k is missing");
            }
            ClientCommand command = add(session, query, number, readAt, statement, null);
            // The client has been waiting since its command was read; the loop may have been late since.
            long now = clock.now();
            long left = Math.min(readAt + statement.timeoutMillis() * 1_000, answerBy) - now;
            long after = statement.requiredPosition() > 0 ? statement.requiredPosition() * 1_000 : -1;
            broker.publish(new BrokerEvent.RequestReceived(new ClientRequest(
                    command.ref,
                    statement.id(),
                    session.team,
                    classIndex,
                    statement.groupId(),
                    statement.sessionNumber(),
                    after,
                    Math.max(1, left),
                    statement.idempotencyKey(),
                    query.bytes())));
        } catch (IllegalArgumentException e) {
            add(session, query, number, readAt, null, new ClientReply.Unreadable(e.getMessage()));
        }
    }

    /** What comes in a row beyond the limits shares one place, so that what is kept of it stays bounded. */
    private void refuseExcess(ClientSession session, ClientMessage message, long number, long readAt) {
        ClientCommand last = session.commands.peekLast();
        if (last != null && last.message instanceof ClientMessage.Excess) {
            last.times++;
            flush(session);
        } else {
            add(session, message, number, readAt, null, new ClientReply.Final(excessReply));
        }
    }

    private ClientCommand add(
            ClientSession session,
            ClientMessage message,
            long number,
            long readAt,
            Statement statement,
            ClientReply reply) {
        ClientCommand command = new ClientCommand(session, ++lastRef, statement, message, number, readAt);
        command.reply = reply;
        session.commands.add(command);
        if (statement != null) {
            open.put(command.ref, command);
        }
        flush(session);
        return command;
    }

    /** The last words come in their place: what was taken before is answered first. */
    private void last(ClientSession session, ClientReply.Cause cause, String fault) {
        counters.protocolErrors.incrementAndGet();
        session.ending = true;
        ClientCommand words = new ClientCommand(session, ++lastRef, null, null, 0, 0);
        words.reply = new ClientReply.Fatal(cause, fault);
        session.commands.add(words);
        flush(session);
    }

    /** The client is owed nothing of what it has asked so far. */
    private void abandon(ClientSession session, AbandonReason cause) {
        List<ClientCommand> left = new ArrayList<>(session.commands);
        session.commands.clear();
        for (ClientCommand command : left) {
            session.settled(command.message, command.times);
            session.releaseAnswer(command.reply == null ? 0 : command.reply.valueBytes());
            if (open.remove(command.ref) != null) {
                broker.publish(new BrokerEvent.RequestAbandoned(command.ref, cause));
            }
        }
    }

    private void flush(ClientSession session) {
        answers.writeReady(session);
        if (session.ending && session.isIdle()) {
            session.cutAt = clock.now() + LINGER;
            session.connection.closeSilently();
        } else if (closing && session.isIdle()) {
            closeUnlessBusy(session);
        }
    }

    private void onClosed(ClientSession session) {
        forgetCloseRequest(session);
        if (sessions.remove(session)) {
            if (!session.commands.isEmpty()) {
                counters.closedWhileOwed.incrementAndGet();
            }
            abandon(session, AbandonReason.CLOSED);
        }
    }

    /** Lets go who does not ask, go on or read in time, and who has been idle for long. */
    private void sweep() {
        long now = clock.now();
        long idle = sessions.size() > maxSessions / 2 ? IDLE_CROWDED : IDLE;
        for (ClientSession session : List.copyOf(sessions)) {
            if (session.cutAt > 0 ? session.cutAt < now : session.isUnread(now - UNREAD)) {
                session.connection.terminateSilently();
            } else if (!session.ending && codec.stalled(session.connection, STALL)) {
                codec.ifStillStalled(session.connection, STALL, () -> loop.execute(() -> endStalled(session)));
            } else if (!session.ending && session.isIdle()) {
                endIdle(session, now, idle);
            }
        }
        loop.after(SWEEP_EVERY, this::sweep);
    }

    private void endStalled(ClientSession session) {
        if (!session.ending && sessions.contains(session)) {
            last(session, ClientReply.Cause.BROKEN, "a command without its end");
        }
    }

    private void endIdle(ClientSession session, long now, long idle) {
        if (closing || session.asked && session.idleSince < now - idle) {
            closeUnlessBusy(session);
        } else if (!session.asked && session.idleSince < now - FIRST_COMMAND && !session.isOwedAnAnswer()) {
            last(session, ClientReply.Cause.BROKEN, "no command in time");
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
            ClientSession session = new ClientSession(connection, statementBudget, answerBudget, counters);
            counters.accepted.incrementAndGet();
            ofConnection.set(connection, session);
            hold(1);
            loop.execute(() -> onAccepted(session));
            return context.getStopAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            ClientSession session = ofConnection.peek(Transport.connection(context));
            List<ClientMessage> messages = context.getMessage();
            long readAt = clock.now();
            List<ClientMessage> admitted = session.read(messages);
            loop.execute(() -> admitted.forEach(message -> onMessage(session, message, readAt)));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            ClientSession session = ofConnection.peek(Transport.connection(context));
            if (session != null) {
                session.closed();
                hold(-1);
                loop.execute(() -> onClosed(session));
            }
            return context.getStopAction();
        }
    }
}
