package crankwick.net;

import crankwick.RouterApi.Result;
import crankwick.RouterApi.Role;
import crankwick.RouterApi.Standing;
import crankwick.RouterApi;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.discovery.Discovery;
import crankwick.statement.Statement;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
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
    private static final long PROBE_TIMEOUT = 250_000;
    /** An idle connection ends well before the database would end it under a request. */
    private static final double IDLE_SHARE = 0.5;
    private static final long REAP_EVERY = 1_000_000;

    /** What one connection is asked to do. */
    private abstract class Job {
        final String server;
        final Supplier<DatabaseCommand> command;
        final long startedAt = runner.clock().now();
        Link link;
        private boolean over;

        Job(String server, Supplier<DatabaseCommand> command) {
            this.server = server;
            this.command = command;
        }

        abstract void written();

        abstract void ended(Result result, long duration, DatabaseMessage.Answered answer);

        /** Nobody is to be told of its end any more. */
        final void over() {
            over = true;
        }

        final void end(Result result, DatabaseMessage.Answered answer) {
            if (!over) {
                over = true;
                ended(result, runner.clock().now() - startedAt, answer);
            }
        }
    }

    /** An attempt of a request. */
    private final class Attempt extends Job {
        final long ref;
        final int number;

        Attempt(Effect.Send send, Supplier<DatabaseCommand> command) {
            super(send.server(), command);
            ref = send.ref();
            number = send.attempt();
        }

        @Override
        void written() {
            runner.tell(new BrokerEvent.Written(ref, number));
        }

        @Override
        void ended(Result result, long duration, DatabaseMessage.Answered answer) {
            attempts.remove(ref);
            runner.tell(answer == null
                    ? new BrokerEvent.Ended(ref, number, result, duration, Role.UNKNOWN, RouterApi.NONE, null,
                            null)
                    : new BrokerEvent.Ended(ref, number, result, duration, answer.role(), answer.position(),
                            answer.report(), answer.value()));
        }
    }

    /** A question for the load report. */
    private final class Probe extends Job {
        Probe(String server) {
            super(server, DatabaseCommand.AskReport::new);
            runner.loop().after(PROBE_TIMEOUT, () -> giveUp(this, Result.TIMEOUT));
        }

        @Override
        void written() {
            // Nobody waits for this.
        }

        @Override
        void ended(Result result, long duration, DatabaseMessage.Answered answer) {
            runner.tell(new BrokerEvent.Probed(server, result, duration,
                    answer == null ? null : answer.report()));
        }
    }

    /** One connection: coming up until greeted, then idle or with a job. */
    private final class Link extends EmptyCompletionHandler<Connection<SocketAddress>> {
        final String server;
        final EventLoop.Timer connectTimer;
        Connection<SocketAddress> connection;
        Job job;
        boolean greeted;
        boolean gone;
        /** The last byte of the job's command has been written; set by whichever thread wrote it. */
        volatile boolean written;
        long idleSince;

        Link(String server, Job job) {
            this.server = server;
            this.job = job;
            connectTimer = runner.loop().after(connectTimeout, () -> {
                if (!greeted) {
                    LOG.info("{}: {} in time", server, connection == null ? "no connection" : "no greeting");
                    discard(Result.UNREACHABLE);
                }
            });
        }

        @Override
        public void completed(Connection<SocketAddress> up) {
            runner.loop().execute(() -> {
                connection = up;
                if (gone) {
                    up.terminateSilently();
                } else {
                    byConnection.put(up, this);
                    up.write(new DatabaseCommand.Hello());
                }
            });
        }

        @Override
        public void failed(Throwable fault) {
            runner.loop().execute(() -> discard(Result.UNREACHABLE));
        }

        void start(Job next) {
            job = next;
            next.link = this;
            written = false;
            var whenWritten = new EmptyCompletionHandler<WriteResult<DatabaseCommand, SocketAddress>>() {
                @Override
                public void completed(WriteResult<DatabaseCommand, SocketAddress> result) {
                    written = true;
                    runner.loop().execute(() -> {
                        if (job == next) {
                            next.written();
                        }
                    });
                }
            };
            connection.write(next.command.get(), whenWritten);
        }

        void onMessage(DatabaseMessage message) {
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
                    discard(answer.result() == Result.FULL ? Result.FULL : Result.UNREACHABLE);
                } else if (job != null) {
                    Job done = job;
                    job = null;
                    if (answer.last()) {
                        discard(Result.RESET);
                    } else {
                        release(this);
                    }
                    done.end(answer.result(), answer);
                } else {
                    discard(Result.RESET);
                }
            } else if (message instanceof DatabaseMessage.Broken broken) {
                LOG.warn("database {}: {}", server, broken.fault());
                onClosed();
            }
        }

        void onClosed() {
            discard(greeted && written ? Result.RESET : Result.UNREACHABLE);
        }

        /** Ends the connection, and with {@code result} what it still carried. */
        void discard(Result result) {
            if (gone) {
                return;
            }
            gone = true;
            links--;
            connectTimer.cancel();
            idle(server).remove(this);
            if (connection != null) {
                byConnection.remove(connection);
                connection.terminateSilently();
            }
            if (job != null) {
                job.end(result, null);
            }
        }
    }

    private final EffectRunner runner;
    private final Transport transport;
    private final CodecFilter codec;
    private final long connectTimeout;
    private final long maxIdle;
    private final int maxLinks;
    private final Map<String, Discovery.Host> hosts = new HashMap<>();
    private final Map<String, Deque<Link>> idle = new HashMap<>();
    private final Map<Connection<SocketAddress>, Link> byConnection = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Receiver receiver = new Receiver();
    private int links;

    /** Databases end connections idle for {@code idleLimit}; at most {@code maxLinks} are held. */
    public DatabasePool(EffectRunner runner, Transport transport, CodecFilter codec, long connectTimeout,
            long idleLimit, int maxLinks) {
        this.runner = runner;
        this.transport = transport;
        this.codec = codec;
        this.connectTimeout = connectTimeout;
        this.maxLinks = maxLinks;
        maxIdle = (long) (idleLimit * IDLE_SHARE);
        runner.loop().after(REAP_EVERY, this::reap);
    }

    /** Takes the addresses in; what was connected to an earlier process or is to go is not used again. */
    void learn(List<Discovery.Host> news) {
        for (Discovery.Host host : news) {
            Discovery.Host known = hosts.put(host.member().server(), host);
            if (known != null && (host.member().standing() == Standing.GONE
                    || known.member().startedAt() != host.member().startedAt()
                    || !known.address().equals(host.address()))) {
                discardIdle(host.member().server());
            }
        }
    }

    void send(Effect.Send send, Statement statement) {
        Attempt attempt = new Attempt(send, () -> new DatabaseCommand.Run(
                statement.withWait(Math.max(1, (send.expires() - runner.clock().now()) / 1_000))));
        attempts.put(send.ref(), attempt);
        begin(attempt);
    }

    /** The broker has already booked the attempt as ended. */
    void withdraw(long ref) {
        Attempt attempt = attempts.remove(ref);
        if (attempt != null) {
            attempt.over();
            giveUp(attempt, Result.CANCELLED);
        }
    }

    void probe(String server) {
        begin(new Probe(server));
    }

    private void begin(Job job) {
        Discovery.Host host = hosts.get(job.server);
        Deque<Link> free = idle(job.server);
        Link link = free.pollLast();
        while (link != null && !link.connection.isOpen()) {
            link.discard(Result.RESET);
            link = free.pollLast();
        }
        if (link != null) {
            link.start(job);
        } else if (host == null || links >= maxLinks) {
            job.end(Result.NOT_SENT, null);
        } else {
            links++;
            Link opened = new Link(job.server, job);
            job.link = opened;
            transport.connect(host.address(), opened, codec, receiver);
        }
    }

    /** Nothing more is wanted of a job: a connection that has its command must end, another may come up. */
    private void giveUp(Job job, Result result) {
        Link link = job.link;
        if (link != null && link.job == job) {
            if (link.greeted) {
                link.discard(result);
            } else {
                link.job = null;
                job.end(result, null);
            }
        }
    }

    private void release(Link link) {
        link.idleSince = runner.clock().now();
        idle(link.server).addLast(link);
    }

    private Deque<Link> idle(String server) {
        return idle.computeIfAbsent(server, s -> new ArrayDeque<>());
    }

    private void discardIdle(String server) {
        new ArrayList<>(idle(server)).forEach(link -> link.discard(Result.RESET));
    }

    private void reap() {
        long since = runner.clock().now() - maxIdle;
        for (Deque<Link> free : idle.values()) {
            while (!free.isEmpty() && free.peekFirst().idleSince < since) {
                free.peekFirst().discard(Result.RESET);
            }
        }
        runner.loop().after(REAP_EVERY, this::reap);
    }

    /** The chain's last filter: passes what the codec has read on to the loop. */
    private final class Receiver extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            DatabaseMessage message = context.getMessage();
            runner.loop().execute(() -> {
                Link link = byConnection.get(connection);
                if (link != null) {
                    link.onMessage(message);
                }
            });
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            runner.loop().execute(() -> {
                Link link = byConnection.get(connection);
                if (link != null) {
                    link.onClosed();
                }
            });
            return context.getStopAction();
        }
    }
}
