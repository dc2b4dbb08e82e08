package crankwick.database;

import crankwick.broker.BrokerEvent;
import crankwick.broker.BrokerEventSink;
import crankwick.broker.Effect;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Role;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the connections to databases. A connection carries one {@link Job} at a time, and a job ends once, in
 * {@link Job#end}; a connection is given back in {@link #release} or ended in {@link Link#discard}.
 */
public final class DatabasePool {
    private static final Logger LOG = LoggerFactory.getLogger(DatabasePool.class);
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long PROBE_TIMEOUT = 250_000;
    /** An idle connection ends well before the database would end it under a request. */
    private static final double IDLE_SHARE = 0.5;

    private static final long REAP_EVERY = 1_000_000;
    /** A connection rests after an answer, so that what a database sends right behind it comes to light. */
    private static final long REST = 10_000;
    /** An answer of which a part has come is not waited for longer than this: databases send them whole. */
    private static final long STALL = 250_000;
    /** A connection that breaks so soon under a command had been ended before, unnoticed. */
    private static final long AT_ONCE = 5_000;

    /** A command read so recently is begun without another look at its client. */
    private static final long FRESH = 10_000;

    private static final long STALL_CHECK = 50_000;
    /** How long a host that has left the list is kept: by then nothing names it any more. */
    private static final long HOST_MEMORY = 60_000_000;

    /** What one connection is asked to do. */
    private abstract class Job {
        final String server;
        final Supplier<DatabaseCommand> command;
        final long startedAt = clock.now();
        Link link;
        private boolean over;

        Job(String server, Supplier<DatabaseCommand> command) {
            this.server = server;
            this.command = command;
        }

        /** True where what the client has done since its command was read should be read before this begins. */
        abstract boolean needsFreshLook();

        /** Asked where the first byte would be written, on that thread. */
        abstract BeginDecision mayBegin();

        abstract void written();

        abstract void ended(AttemptResult result, long duration, DatabaseMessage.Answered answer);

        /** Nobody is to be told of its end any more. */
        final void over() {
            over = true;
        }

        final void end(AttemptResult result, DatabaseMessage.Answered answer) {
            if (!over) {
                over = true;
                ended(result, clock.now() - startedAt, answer);
            }
        }
    }

    /** An attempt of a request. */
    private final class Attempt extends Job {
        final long ref;
        final int number;
        private final CommandSource asked;
        private final long beginBy;

        Attempt(Effect.SendAttempt send, CommandSource asked) {
            super(
                    send.endpointId(),
                    () -> new DatabaseCommand.Run(asked.statement()
                            .withTimeout(Math.max(1, (send.expiresAt() - clock.now()) / MICROS_PER_MILLI))));
            ref = send.requestId();
            number = send.attempt();
            beginBy = send.startBefore();
            this.asked = asked;
        }

        @Override
        boolean needsFreshLook() {
            return clock.now() - asked.readAt() > FRESH;
        }

        @Override
        BeginDecision mayBegin() {
            if (clock.now() >= beginBy) {
                return BeginDecision.TOO_LATE;
            }
            return asked.isAbandoned() ? BeginDecision.CLIENT_GONE : BeginDecision.BEGIN;
        }

        @Override
        void written() {
            broker.publish(new BrokerEvent.AttemptWritten(ref, number));
        }

        @Override
        void ended(AttemptResult result, long duration, DatabaseMessage.Answered answer) {
            attempts.remove(ref);
            broker.publish(
                    answer == null
                            ? new BrokerEvent.AttemptEnded(
                                    ref, number, result, duration, Role.UNKNOWN, AbsentValue.NONE, null, null)
                            : new BrokerEvent.AttemptEnded(
                                    ref,
                                    number,
                                    result,
                                    duration,
                                    answer.role(),
                                    answer.position(),
                                    answer.report(),
                                    answer.value()));
        }
    }

    /** A question for the load report. */
    private final class Probe extends Job {
        Probe(String server) {
            super(server, DatabaseCommand.AskReport::new);
            loop.after(PROBE_TIMEOUT, () -> giveUp(this, AttemptResult.TIMEOUT));
        }

        @Override
        boolean needsFreshLook() {
            return false;
        }

        @Override
        BeginDecision mayBegin() {
            return BeginDecision.BEGIN;
        }

        @Override
        void written() {
            // Nobody waits for this.
        }

        @Override
        void ended(AttemptResult result, long duration, DatabaseMessage.Answered answer) {
            broker.publish(new BrokerEvent.HealthCheckEnded(
                    server, result, duration, answer == null ? null : answer.report()));
        }
    }

    /** One connection: coming up until greeted, then idle or with a job. */
    private final class Link extends EmptyCompletionHandler<Connection<SocketAddress>> {
        final String server;
        final EventLoop.Timer connectTimer;
        Future<?> connecting;
        Connection<SocketAddress> connection;
        Job job;
        boolean greeted;
        boolean gone;
        /** Set by whoever comes first: the thread that writes the job's command, or the loop that ends it. */
        AtomicBoolean started;
        /** The last byte of the job's command has been written; set by whichever thread wrote it. */
        volatile boolean written;

        long idleSince;
        /** Whether the connection had been idle before its job, and when that was begun. */
        boolean kept;

        long startedAt;

        Link(String server, Job job) {
            this.server = server;
            this.job = job;
            connectTimer = loop.after(connectTimeout, this::onConnectTimeout);
        }

        private void onConnectTimeout() {
            if (connection == null) {
                endIfNotUp("no connection in time");
            } else {
                Transport.afterReading(connection, () -> loop.execute(() -> endIfNotUp("no greeting in time")));
            }
        }

        private void endIfNotUp(String why) {
            if (!greeted && !gone) {
                counters.notUpInTime.incrementAndGet();
                LOG.info("{}: {}", server, why);
                discard(AttemptResult.UNREACHABLE);
            }
        }

        @Override
        public void completed(Connection<SocketAddress> up) {
            loop.execute(() -> {
                if (gone) {
                    up.terminateSilently();
                } else {
                    connection = up;
                    byConnection.put(up, this);
                }
            });
            // Guards against a late loop passing for a database that is slow to greet; known above by then.
            up.write(new DatabaseCommand.Hello());
        }

        @Override
        public void failed(Throwable fault) {
            boolean refused = fault instanceof ConnectException;
            loop.execute(
                    () -> discard(refused ? AttemptResult.UNREACHABLE : AttemptResult.CONNECTION_LOST_BEFORE_SEND));
        }

        /**
         * Writes the command from the thread that reads: only there is it certain that nothing has come in
         * unasked, and that a connection which was given up before has been closed.
         */
        void start(Job next) {
            job = next;
            next.link = this;
            written = false;
            kept = idleSince > 0;
            startedAt = clock.now();
            AtomicBoolean claim = new AtomicBoolean();
            started = claim;
            var whenWritten = new EmptyCompletionHandler<WriteResult<DatabaseCommand, SocketAddress>>() {
                @Override
                public void completed(WriteResult<DatabaseCommand, SocketAddress> result) {
                    written = true;
                    loop.execute(() -> {
                        if (job == next) {
                            next.written();
                        }
                    });
                }
            };
            Transport.whereItReads(connection, () -> {
                if (next.needsFreshLook()) {
                    // From a task on this thread, so behind what has arrived: see Transport.afterReading.
                    Transport.whereItReads(connection, () -> beginIfWanted(next, claim, whenWritten));
                } else {
                    beginIfWanted(next, claim, whenWritten);
                }
            });
        }

        private void beginIfWanted(
                Job next,
                AtomicBoolean claim,
                CompletionHandler<WriteResult<DatabaseCommand, SocketAddress>> whenWritten) {
            if (claim.get()) {
                // Ended meanwhile: the connection may be another job's by now, and what it reads that job's answer.
                return;
            }
            if (!Transport.isQuiet(connection)) {
                loop.execute(this::onClosed);
                return;
            }
            DatabaseCommand command = next.command.get();
            BeginDecision decision = next.mayBegin();
            if (decision != BeginDecision.BEGIN) {
                counters.countWithheld(decision);
                loop.execute(() -> recallIfStill(next));
            } else if (claim.compareAndSet(false, true)) {
                codec.expect(connection, command);
                connection.write(command, whenWritten);
            }
        }

        /** Keeps the connection for the job until it has rested: that is sooner than another comes up. */
        void startRested(Job next) {
            job = next;
            next.link = this;
            started = new AtomicBoolean();
            loop.after(idleSince + REST - clock.now(), () -> {
                if (!gone && job == next) {
                    start(next);
                }
            });
        }

        void onMessages(List<DatabaseMessage> messages) {
            for (DatabaseMessage message : messages) {
                if (!gone) {
                    onMessage(message);
                }
            }
        }

        private void onMessage(DatabaseMessage message) {
            if (message instanceof DatabaseMessage.Greeted) {
                greeted = true;
                connectTimer.cancel();
                if (job == null) {
                    release(this);
                } else {
                    start(job);
                }
            } else if (message instanceof DatabaseMessage.Answered answer) {
                if (!greeted) {
                    // Turned away at the door: what was meant for it has not been written.
                    discard(
                            answer.result() == AttemptResult.REJECTED_OVERLOADED
                                    ? AttemptResult.REJECTED_OVERLOADED
                                    : AttemptResult.UNREACHABLE);
                } else if (job != null) {
                    Job done = job;
                    job = null;
                    if (answer.last()) {
                        discard(AttemptResult.RESET);
                    } else {
                        release(this);
                    }
                    done.end(answer.result(), answer);
                } else {
                    discard(AttemptResult.RESET);
                }
            } else if (message instanceof DatabaseMessage.Broken broken) {
                onBroken(broken.fault());
            }
        }

        /** A spoilt answer is a failed attempt that may have run; what was not begun goes over another. */
        void onBroken(String fault) {
            LOG.warn("database {}: {}", server, fault);
            if (!moveUnbegun()) {
                discard(greeted ? AttemptResult.RESET : AttemptResult.CONNECTION_LOST_BEFORE_SEND);
            }
        }

        void onStalled() {
            if (!gone) {
                onBroken("an answer without its end");
            }
        }

        void onClosed() {
            if (!moveUnbegun()) {
                boolean stale = kept && clock.now() - startedAt < AT_ONCE;
                discard(
                        !written
                                ? AttemptResult.CONNECTION_LOST_BEFORE_SEND
                                : stale ? AttemptResult.STALE_CONNECTION : AttemptResult.RESET);
            }
        }

        /** Where not a byte of its command has been written, a job goes on over another connection. */
        private boolean moveUnbegun() {
            Job unbegun = job;
            if (gone || unbegun == null || !greeted || !started.compareAndSet(false, true)) {
                return false;
            }
            job = null;
            unbegun.link = null;
            counters.moved.incrementAndGet();
            discard(AttemptResult.RESET);
            begin(unbegun);
            return true;
        }

        private void recallIfStill(Job unwanted) {
            if (!gone && job == unwanted) {
                recall(AttemptResult.NOT_SENT);
            }
        }

        /**
         * Ends the job if not a byte of its command has been written, and keeps the connection, which may
         * still be coming up; false if it has begun.
         */
        boolean recall(AttemptResult result) {
            if (greeted && !started.compareAndSet(false, true)) {
                return false;
            }
            Job unbegun = job;
            job = null;
            unbegun.link = null;
            if (greeted) {
                release(this);
            }
            unbegun.end(result, null);
            return true;
        }

        /** Ends the connection, and with {@code result} what it still carried. */
        void discard(AttemptResult result) {
            if (gone) {
                return;
            }
            gone = true;
            links--;
            connectTimer.cancel();
            idle.getOrDefault(server, noLinks).remove(this);
            if (started != null) {
                started.set(true);
            }
            if (connection != null) {
                byConnection.remove(connection);
                connection.terminateSilently();
            } else {
                connecting.cancel(true);
            }
            if (job != null) {
                job.end(result, null);
            }
        }
    }

    private final BrokerEventSink broker;
    private final EventLoop loop;
    private final Clock clock;
    private final Transport transport;
    private final CodecFilter codec;
    private final long connectTimeout;
    private final long maxIdle;
    private final int maxLinks;
    private final Deque<Link> noLinks = new ArrayDeque<>(0);
    private final FilterChain chain;
    private final Map<String, EndpointAddress> hosts = new HashMap<>();
    /** When those hosts that are no longer listed left the list. */
    private final Map<String, Long> leftAt = new HashMap<>();

    private final Map<String, Deque<Link>> idle = new HashMap<>();
    private final Map<Connection<SocketAddress>, Link> byConnection = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private int links;
    private final PoolCounters counters = new PoolCounters();

    /** The codec is the one of the databases' protocol. */
    public DatabasePool(
            BrokerEventSink broker,
            EventLoop loop,
            Clock clock,
            Transport transport,
            CodecFilter codec,
            PoolSettings settings) {
        this.broker = broker;
        this.loop = loop;
        this.clock = clock;
        this.transport = transport;
        this.codec = codec;
        connectTimeout = settings.connectTimeoutMicros();
        maxLinks = settings.maxConnections();
        chain = Transport.chain(codec, new Receiver());
        maxIdle = (long) (settings.serverIdleTimeoutMicros() * IDLE_SHARE);
        loop.after(REAP_EVERY, this::reap);
        loop.after(STALL_CHECK, this::endStalled);
    }

    /** What has been counted of connections to databases, for a line in the log. */
    public String counters() {
        return counters.toString();
    }

    /** Takes the addresses in; what was connected to an earlier process or is to go is not used again. */
    public void learn(EndpointUpdateKind kind, List<EndpointAddress> listed) {
        long now = clock.now();
        if (kind == EndpointUpdateKind.FULL) {
            hosts.keySet().forEach(server -> leftAt.putIfAbsent(server, now));
        }
        for (EndpointAddress host : listed) {
            String server = host.endpoint().id();
            boolean gone = host.endpoint().status() == EndpointStatus.REMOVED;
            EndpointAddress known = hosts.put(server, host);
            if (gone) {
                leftAt.putIfAbsent(server, now);
            } else {
                leftAt.remove(server);
            }
            if (known != null
                    && (gone
                            || known.endpoint().startedAt() != host.endpoint().startedAt()
                            || !known.address().equals(host.address()))) {
                discardIdle(server);
            }
        }
    }

    /** Makes an attempt of a request. */
    public void send(Effect.SendAttempt send, CommandSource asked) {
        Attempt attempt = new Attempt(send, asked);
        attempts.put(send.requestId(), attempt);
        begin(attempt);
    }

    /** The broker has already booked the attempt as ended. */
    public void withdraw(long ref) {
        Attempt attempt = attempts.remove(ref);
        if (attempt != null) {
            attempt.over();
            giveUp(attempt, AttemptResult.CANCELLED);
        }
    }

    /** Ends an attempt of which nothing has been written; one that has begun goes on. */
    public void recall(long ref) {
        Attempt attempt = attempts.get(ref);
        if (attempt != null && attempt.link != null && attempt.link.job == attempt) {
            attempt.link.recall(AttemptResult.NOT_SENT);
        }
    }

    /** Asks a database for its load report. */
    public void probe(String server) {
        begin(new Probe(server));
    }

    private void begin(Job job) {
        EndpointAddress host = hosts.get(job.server);
        Link link = rested(job.server);
        Link resting =
                link != null ? null : idle.getOrDefault(job.server, noLinks).pollFirst();
        if (link != null) {
            link.start(job);
        } else if (resting != null) {
            resting.startRested(job);
        } else if (host == null || links >= maxLinks && !makeRoom()) {
            job.end(AttemptResult.NOT_SENT, null);
        } else {
            links++;
            counters.opened.incrementAndGet();
            Link opened = new Link(job.server, job);
            job.link = opened;
            opened.connecting = transport.connect(host.address(), opened, chain);
        }
    }

    /** The connection to a database that was used last, of those that have rested; null if none has. */
    private Link rested(String server) {
        long since = clock.now() - REST;
        Iterator<Link> free = idle.getOrDefault(server, noLinks).descendingIterator();
        while (free.hasNext()) {
            Link link = free.next();
            if (link.idleSince <= since) {
                free.remove();
                return link;
            }
        }
        return null;
    }

    /** Ends the connection that has been idle longest, wherever; false if there is none. */
    private boolean makeRoom() {
        Link eldest = null;
        for (Deque<Link> free : idle.values()) {
            Link link = free.peekFirst();
            if (link != null && (eldest == null || link.idleSince < eldest.idleSince)) {
                eldest = link;
            }
        }
        if (eldest != null) {
            eldest.discard(AttemptResult.RESET);
        }
        return eldest != null;
    }

    /** Nothing more is wanted of a job: a connection that has its command must end. */
    private void giveUp(Job job, AttemptResult result) {
        Link link = job.link;
        if (link != null && link.job == job && !link.recall(result)) {
            link.discard(result);
        }
    }

    private void release(Link link) {
        link.idleSince = clock.now();
        idle.computeIfAbsent(link.server, s -> new ArrayDeque<>()).addLast(link);
    }

    private void discardIdle(String server) {
        List.copyOf(idle.getOrDefault(server, noLinks)).forEach(link -> link.discard(AttemptResult.RESET));
    }

    private void reap() {
        long now = clock.now();
        for (Deque<Link> free : idle.values()) {
            while (!free.isEmpty() && free.peekFirst().idleSince < now - maxIdle) {
                free.peekFirst().discard(AttemptResult.RESET);
            }
        }
        idle.values().removeIf(Deque::isEmpty);
        for (Iterator<Map.Entry<String, Long>> left = leftAt.entrySet().iterator(); left.hasNext(); ) {
            Map.Entry<String, Long> host = left.next();
            if (host.getValue() < now - HOST_MEMORY) {
                discardIdle(host.getKey());
                hosts.remove(host.getKey());
                left.remove();
            }
        }
        loop.after(REAP_EVERY, this::reap);
    }

    /** An answer that has begun and does not end is spoilt. */
    private void endStalled() {
        for (Link link : List.copyOf(byConnection.values())) {
            if (!link.gone && codec.stalled(link.connection, STALL)) {
                codec.ifStillStalled(link.connection, STALL, () -> loop.execute(link::onStalled));
            }
        }
        loop.after(STALL_CHECK, this::endStalled);
    }

    /** The chain's last filter: passes what the codec has read on to the loop. */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            List<DatabaseMessage> messages = context.getMessage();
            loop.execute(() -> {
                Link link = byConnection.get(connection);
                if (link != null) {
                    link.onMessages(messages);
                }
            });
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            loop.execute(() -> {
                Link link = byConnection.get(connection);
                if (link != null) {
                    link.onClosed();
                }
            });
            return context.getStopAction();
        }
    }
}
