package crankwick.emulator;

import crankwick.client.ClientMessage;
import crankwick.client.ClientReply;
import crankwick.database.DatabaseReply;
import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import crankwick.model.ModelSettings;
import crankwick.routing.api.Role;
import crankwick.statement.Statement;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Modelled groups of databases on loopback sockets: each member listens at a port of its own and does what
 * {@link GroupModel} says. A dead member's port refuses, a hung one's connections stay and say nothing. All
 * state changes on one loop.
 */
public final class DatabaseEmulator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DatabaseEmulator.class);
    /** The end of a connection may be noticed after what its peer did next on another. */
    private static final long CROSSING = 250_000;

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** A proxy's connection to a member; one statement at a time. */
    private static final class Link {
        final Group group;
        final int member;
        final Connection<SocketAddress> connection;
        /** What is at the model; 0 for nothing. */
        long ref;

        boolean probe;
        boolean write;
        String id;
        /** A login that a hung member has not answered. */
        boolean loginWaits;

        Link(Group group, int member, Connection<SocketAddress> connection) {
            this.group = group;
            this.member = member;
            this.connection = connection;
        }
    }

    private static final class Group {
        final int id;
        final GroupModel model;
        final int[] ports;
        final TCPNIOServerConnection[] listeners;
        long dueAt = Long.MAX_VALUE;
        int lastLeader;

        Group(int id, GroupModel model, int members) {
            this.id = id;
            this.model = model;
            ports = new int[members];
            listeners = new TCPNIOServerConnection[members];
        }
    }

    private final CodecFilter codec;
    private final EmulatedEndpointList list;
    private final ModelSettings figures = ModelSettings.DEFAULT;
    private final Transport transport = new Transport();
    private final EventLoop loop = new EventLoop("emulate");
    private final Clock clock = new Clock();
    private final SplittableRandom random;
    private final List<Group> groups = new ArrayList<>();
    private final Map<Connection<SocketAddress>, Link> links = new HashMap<>();
    private final Map<Long, Link> byRef = new HashMap<>();
    /** Where each request's attempt is. */
    private final Map<String, Link> inFlight = new HashMap<>();

    private final ExecutionLog ledger = new ExecutionLog();
    private long refs;
    private int changesLeft;

    /** Emulates so many groups on a wire; {@code list} tells proxies of them. */
    public DatabaseEmulator(CodecFilter codec, int groups, long seed, EmulatedEndpointList list) throws IOException {
        this.codec = codec;
        this.list = list;
        random = new SplittableRandom(seed);
        for (int i = 0; i < groups; i++) {
            GroupModel model = new GroupModel(figures, random.nextLong(), clock.now());
            Group g = new Group(i, model, figures.members());
            this.groups.add(g);
            for (int m = 0; m < figures.members(); m++) {
                listen(g, m);
            }
            list.set(entries(g, -1));
        }
        list.publish();
    }

    private void listen(Group g, int m) throws IOException {
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, g.ports[m]);
        g.listeners[m] = transport.bind(address, codec, new Receiver(g, m));
        g.ports[m] = ((InetSocketAddress) g.listeners[m].getLocalAddress()).getPort();
    }

    /** Lets so many changes of primaries happen, each {@code every} microseconds after the one before. */
    public void trouble(int changes, long every) {
        changesLeft = changes;
        loop.after(every, () -> nextTrouble(every));
    }

    private void nextTrouble(long every) {
        if (changesLeft == 0) {
            return;
        }
        List<Group> well = groups.stream().filter(this::isWell).toList();
        if (!well.isEmpty()) {
            changesLeft--;
            Group g = well.get(random.nextInt(well.size()));
            int leader = g.model.leader();
            befall(g, leader, new Kind[] {Kind.CRASH, Kind.HANG, Kind.DRAIN}[random.nextInt(3)]);
            loop.after(random.nextLong(600_000, 6_000_000), () -> comeBack(g, leader));
        }
        loop.after(every, () -> nextTrouble(every));
    }

    /** Somebody leads, and all members are there to take over. */
    private boolean isWell(Group g) {
        for (int m = 0; m < figures.members(); m++) {
            if (!g.model.isResponsive(m) || g.model.isDraining(m)) {
                return false;
            }
        }
        return g.model.leader() >= 0;
    }

    private void comeBack(Group g, int m) {
        if (g.model.isDraining(m) && (g.model.leader() == m || g.model.leader() < 0)) {
            loop.after(500_000, () -> comeBack(g, m));
            return;
        }
        befall(g, m, Kind.RESTART);
    }

    private void befall(Group g, int m, Kind kind) {
        LOG.info("group {} member {}: {}", g.id, m, kind);
        long started = g.model.startedAt(m);
        tell(g, new ModelEvent.FaultInjected(kind, m));
        try {
            if (g.model.refusesConnections(m) || g.model.startedAt(m) != started) {
                close(g, m);
            }
            if (!g.model.refusesConnections(m) && !g.listeners[m].isOpen()) {
                listen(g, m);
            }
        } catch (IOException e) {
            LOG.warn("group {} member {} can't listen again", g.id, m, e);
        }
        if (kind == Kind.RESTART) {
            links.values().stream()
                    .filter(l -> l.group == g && l.member == m && l.loginWaits)
                    .toList()
                    .forEach(this::welcome);
        }
        list.set(entries(g, -1));
        loop.after(random.nextLong(20_000, 300_000), list::publish);
    }

    private void close(Group g, int m) {
        g.listeners[m].closeSilently();
        for (Link link : List.copyOf(links.values())) {
            if (link.group == g && link.member == m) {
                link.connection.terminateSilently();
                forget(link);
            }
        }
    }

    // ---- Connections ---------------------------------------------------------------------------------

    private void onMessage(Link link, ClientMessage message) {
        if (message instanceof ClientMessage.Login) {
            if (link.group.model.isResponsive(link.member)) {
                welcome(link);
            } else {
                link.loginWaits = true;
            }
        } else if (message instanceof ClientMessage.Query q) {
            onQuery(link, q.text());
        } else {
            link.connection.terminateSilently();
        }
    }

    private void welcome(Link link) {
        link.loginWaits = false;
        link.connection.write(new ClientReply.Welcome());
    }

    private void onQuery(Link link, String text) {
        link.ref = ++refs;
        byRef.put(link.ref, link);
        link.probe = !text.startsWith("/*");
        if (link.probe) {
            tell(link.group, new ModelEvent.HealthCheckReceived(link.ref, link.member));
            return;
        }
        try {
            Statement statement = Statement.parse(text);
            link.write = statement.idempotencyKey() != null;
            link.id = statement.id();
            Link earlier = inFlight.put(link.id, link);
            if (earlier != null) {
                long earlierRef = earlier.ref;
                loop.after(CROSSING, () -> {
                    if (links.get(earlier.connection) == earlier && earlier.ref == earlierRef) {
                        ledger.secondAttempt();
                    }
                });
            }
            tell(
                    link.group,
                    new ModelEvent.QueryReceived(
                            link.ref,
                            link.member,
                            statement.idempotencyKey(),
                            Math.max(0, statement.requiredPosition() * 1_000)));
        } catch (IllegalArgumentException e) {
            LOG.warn("a statement that no client sent: {}", text);
            byRef.remove(link.ref);
            link.connection.terminateSilently();
        }
    }

    private void onClosed(Connection<SocketAddress> connection) {
        Link link = links.get(connection);
        if (link != null) {
            forget(link);
        }
    }

    private void forget(Link link) {
        links.remove(link.connection);
        if (link.ref != 0 && byRef.remove(link.ref) != null) {
            inFlight.remove(link.id, link);
            tell(link.group, new ModelEvent.ConnectionClosed(link.ref));
        }
    }

    // ---- The model -----------------------------------------------------------------------------------

    private void tell(Group g, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        g.model.handle(event, clock.now(), effects::add);
        effects.forEach(effect -> onEffect(g, effect));
        long due = g.model.nextTimerDue();
        if (due < g.dueAt) {
            g.dueAt = due;
            loop.after(Math.max(0, due - clock.now()), () -> {
                if (g.dueAt == due) {
                    g.dueAt = Long.MAX_VALUE;
                    tell(g, new ModelEvent.TimerDue());
                }
            });
        }
    }

    private void onEffect(Group g, ModelEffect effect) {
        if (effect instanceof ModelEffect.Answered e) {
            answer(e);
        } else if (effect instanceof ModelEffect.ConnectionBroken e) {
            Link link = byRef.get(e.exchangeId());
            if (link != null) {
                link.connection.terminateSilently();
                byRef.remove(e.exchangeId());
                inFlight.remove(link.id, link);
            }
        } else if (effect instanceof ModelEffect.WriteApplied e) {
            ledger.applied(e.idempotencyKey(), 1);
        } else if (effect instanceof ModelEffect.WriteRolledBack e) {
            ledger.applied(e.idempotencyKey(), -1);
        } else if (effect instanceof ModelEffect.LeaderLost e) {
            LOG.info("group {} is vacant after member {}", g.id, e.previousLeader());
            ledger.vacant(g.id, clock.now(), e.planned());
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            LOG.info("group {} is led by member {}", g.id, e.member());
            ledger.led(
                    g.id,
                    clock.now(),
                    e.member() != g.lastLeader,
                    clock.now() < g.model.startedAt(e.member()) + figures.warmUpMicros());
            g.lastLeader = e.member();
            loop.after(random.nextLong(2_800_000, 4_900_000), () -> {
                list.set(entries(g, e.member()));
                list.publish();
            });
        } else if (effect instanceof ModelEffect.MemberCollapsed e) {
            LOG.warn("group {} member {} fell over", g.id, e.member());
            ledger.fell();
            close(g, e.member());
        }
    }

    private void answer(ModelEffect.Answered e) {
        Link link = byRef.remove(e.exchangeId());
        if (link == null) {
            return;
        }
        link.ref = 0;
        inFlight.remove(link.id, link);
        link.connection.write(new DatabaseReply(
                e.result(), e.role(), e.position(), e.report(), "value of " + link.id, link.probe, link.write));
    }

    /** The list's lines for a group; roles change only where {@code primary} says so. */
    private List<EmulatedEndpointList.Entry> entries(Group g, int primary) {
        List<EmulatedEndpointList.Entry> all = new ArrayList<>();
        for (int m = 0; m < figures.members(); m++) {
            Role role = primary < 0 ? Role.UNKNOWN : m == primary ? Role.PRIMARY : Role.REPLICA;
            all.add(new EmulatedEndpointList.Entry(
                    "g" + g.id + "m" + m, g.ports[m], g.id, role, g.model.isDraining(m), g.model.startedAt(m) / 1_000));
        }
        return all;
    }

    /** Where the list of databases is told over HTTP. */
    public int listPort() {
        return list.port();
    }

    /** The whole list as it is told now. */
    public String list() {
        return list.json();
    }

    /** What the databases have done so far. */
    public ExecutionLog ledger() {
        return ledger;
    }

    @Override
    public void close() throws IOException {
        list.close();
        transport.close();
        loop.close();
    }

    /** The chain's last filter of one member: passes what the codec has read on to the loop. */
    private final class Receiver extends BaseFilter {
        private final Group group;
        private final int member;

        Receiver(Group group, int member) {
            this.group = group;
            this.member = member;
        }

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            loop.execute(() -> links.put(connection, new Link(group, member, connection)));
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            List<ClientMessage> messages = context.getMessage();
            loop.execute(() -> {
                Link link = links.get(connection);
                if (link != null) {
                    messages.forEach(message -> onMessage(link, message));
                }
            });
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            Connection<SocketAddress> connection = Transport.connection(context);
            loop.execute(() -> onClosed(connection));
            return context.getStopAction();
        }
    }
}
