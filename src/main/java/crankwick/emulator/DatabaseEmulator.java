package crankwick.emulator;

import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.model.ModelEvent.FaultInjected.Kind;
import crankwick.model.ModelSettings;
import crankwick.transport.Clock;
import crankwick.transport.CodecFilter;
import crankwick.transport.EventLoop;
import crankwick.transport.Transport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs modelled groups of databases on loopback sockets: each member listens on its own port and behaves as its group's
 * {@link GroupModel} specifies. The port of a crashed member refuses connections; the connections of a hung member stay
 * open without a response. All model events are handled on one event loop.
 */
public final class DatabaseEmulator implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DatabaseEmulator.class);
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static final Kind[] LEADER_FAULTS = {Kind.CRASH, Kind.HANG, Kind.DRAIN};
    private static final long MIN_RESTART_DELAY_MICROS = 600_000;
    private static final long MAX_RESTART_DELAY_MICROS = 6_000_000;
    private static final long RESTART_RETRY_MICROS = 500_000;
    /** The range of the delay from a fault or restart to the publication of the updated endpoint list. */
    private static final long MIN_FAULT_LIST_UPDATE_DELAY_MICROS = 20_000;

    private static final long MAX_FAULT_LIST_UPDATE_DELAY_MICROS = 300_000;
    /** The range of the delay from an election to the publication of the new leader in the endpoint list. */
    private static final long MIN_LEADER_LIST_UPDATE_DELAY_MICROS = 2_800_000;

    private static final long MAX_LEADER_LIST_UPDATE_DELAY_MICROS = 4_900_000;

    private final CodecFilter codec;
    private final EmulatedEndpointList endpointList;
    private final ModelSettings settings = ModelSettings.DEFAULT;
    private final Transport transport = new Transport();
    private final EventLoop loop = new EventLoop("emulate");
    private final Clock clock = new Clock();
    private final SplittableRandom random;
    private final List<EmulatedGroup> groups = new ArrayList<>();
    private final ExecutionLog executionLog = new ExecutionLog();
    private final MemberConnections connections = new MemberConnections(loop, executionLog, this::deliver);
    private int remainingFaults;

    /** Starts {@code groups} modelled groups that use the codec's protocol, and publishes their endpoints. */
    public DatabaseEmulator(CodecFilter codec, int groups, long seed, EmulatedEndpointList endpointList)
            throws IOException {
        this.codec = codec;
        this.endpointList = endpointList;
        random = new SplittableRandom(seed);
        for (int i = 0; i < groups; i++) {
            GroupModel model = new GroupModel(settings, random.nextLong(), clock.now());
            EmulatedGroup group = new EmulatedGroup(i, model, settings.memberCount());
            this.groups.add(group);
            for (int member = 0; member < settings.memberCount(); member++) {
                listen(group, member);
            }
            endpointList.update(group.endpoints());
        }
        endpointList.publish();
    }

    private void listen(EmulatedGroup group, int member) throws IOException {
        InetSocketAddress address = new InetSocketAddress(LOOPBACK, group.port(member));
        TCPNIOServerConnection listener =
                transport.bind(address, codec, new MemberFilter(group, member, connections, loop));
        group.setListener(member, listener, ((InetSocketAddress) listener.getLocalAddress()).getPort());
    }

    // ---- Faults --------------------------------------------------------------------------------------

    /**
     * Schedules {@code count} crashes, hangs or drains of leaders, at least {@code intervalMicros} apart, each followed
     * by a restart. A fault waits until a group is healthy.
     */
    public void scheduleFaults(int count, long intervalMicros) {
        remainingFaults = count;
        loop.schedule(intervalMicros, () -> injectNextFault(intervalMicros));
    }

    private void injectNextFault(long intervalMicros) {
        if (remainingFaults == 0) {
            return;
        }
        List<EmulatedGroup> healthy = groups.stream().filter(this::isHealthy).toList();
        if (!healthy.isEmpty()) {
            remainingFaults--;
            EmulatedGroup group = healthy.get(random.nextInt(healthy.size()));
            int leader = group.model().leader();
            inject(group, leader, LEADER_FAULTS[random.nextInt(LEADER_FAULTS.length)]);
            long delay = random.nextLong(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS);
            loop.schedule(delay, () -> restart(group, leader));
        }
        loop.schedule(intervalMicros, () -> injectNextFault(intervalMicros));
    }

    /** True if the group has a leader, and all members are responsive and not draining. */
    private boolean isHealthy(EmulatedGroup group) {
        GroupModel model = group.model();
        for (int member = 0; member < group.memberCount(); member++) {
            if (!model.isResponsive(member) || model.isDraining(member)) {
                return false;
            }
        }
        return model.leader() >= 0;
    }

    private void restart(EmulatedGroup group, int member) {
        GroupModel model = group.model();
        if (model.isDraining(member) && (model.leader() == member || model.leader() < 0)) {
            loop.schedule(RESTART_RETRY_MICROS, () -> restart(group, member));
            return;
        }
        inject(group, member, Kind.RESTART);
    }

    private void inject(EmulatedGroup group, int member, Kind kind) {
        LOG.info("group {} member {}: injecting {}", group.id(), member, kind);
        long startedAt = group.model().startedAt(member);
        deliver(group, new ModelEvent.FaultInjected(kind, member));
        updateListener(group, member, startedAt);
        if (kind == Kind.RESTART) {
            connections.acceptPendingLogins(group, member);
        }
        endpointList.update(group.endpoints());
        loop.schedule(
                random.nextLong(MIN_FAULT_LIST_UPDATE_DELAY_MICROS, MAX_FAULT_LIST_UPDATE_DELAY_MICROS),
                endpointList::publish);
    }

    /**
     * Closes the port and the connections of a member that refuses connections or has just restarted, and opens the
     * port again if the member accepts connections.
     */
    private void updateListener(EmulatedGroup group, int member, long previousStart) {
        GroupModel model = group.model();
        try {
            if (model.refusesConnections(member) || model.startedAt(member) != previousStart) {
                close(group, member);
            }
            if (!model.refusesConnections(member) && !group.isListening(member)) {
                listen(group, member);
            }
        } catch (IOException e) {
            LOG.warn(
                    "group {} member {}: failed to reopen its port; it stays closed until the next fault or restart",
                    group.id(),
                    member,
                    e);
        }
    }

    private void close(EmulatedGroup group, int member) {
        group.stopListening(member);
        connections.closeAll(group, member);
    }

    // ---- The model -----------------------------------------------------------------------------------

    private void deliver(EmulatedGroup group, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        group.model().handle(event, clock.now(), effects::add);
        effects.forEach(effect -> apply(group, effect));
        long dueAt = group.model().nextTimerDue();
        if (dueAt < group.timerDueAt()) {
            group.setTimerDueAt(dueAt);
            loop.schedule(Math.max(0, dueAt - clock.now()), () -> {
                if (group.timerDueAt() == dueAt) {
                    group.setTimerDueAt(Long.MAX_VALUE);
                    deliver(group, new ModelEvent.TimerDue());
                }
            });
        }
    }

    private void apply(EmulatedGroup group, ModelEffect effect) {
        if (effect instanceof ModelEffect.ResponseSent e) {
            connections.respond(e);
        } else if (effect instanceof ModelEffect.ConnectionFailed e) {
            connections.closeConnection(e.exchangeId());
        } else if (effect instanceof ModelEffect.WriteAppended e) {
            executionLog.recordApplied(e.idempotencyKey());
        } else if (effect instanceof ModelEffect.WriteRolledBack e) {
            executionLog.recordRolledBack(e.idempotencyKey());
        } else if (effect instanceof ModelEffect.LeaderLost e) {
            LOG.info("group {} lost its leader, member {}", group.id(), e.previousLeader());
            executionLog.recordLeaderLost(group.id(), clock.now(), e.planned());
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            onLeaderElected(group, e.member());
        } else if (effect instanceof ModelEffect.MemberCollapsed e) {
            LOG.warn("group {} member {} collapsed under overload", group.id(), e.member());
            executionLog.recordCollapse();
            close(group, e.member());
        }
    }

    private void onLeaderElected(EmulatedGroup group, int leader) {
        LOG.info("group {} elected member {} as leader", group.id(), leader);
        executionLog.recordLeaderElected(
                group.id(),
                clock.now(),
                leader != group.lastLeader(),
                clock.now() < group.model().startedAt(leader) + settings.warmUpMicros());
        group.setLastLeader(leader);
        loop.schedule(random.nextLong(MIN_LEADER_LIST_UPDATE_DELAY_MICROS, MAX_LEADER_LIST_UPDATE_DELAY_MICROS), () -> {
            endpointList.update(group.endpointsWithPrimary(leader));
            endpointList.publish();
        });
    }

    // ---- Accessors -----------------------------------------------------------------------------------

    /** The port on which the endpoint list is served over HTTP. */
    public int discoveryPort() {
        return endpointList.port();
    }

    /** The complete endpoint list as it is served now, in JSON. */
    public String endpointsJson() {
        return endpointList.json();
    }

    /** The record of what the databases have executed so far. */
    public ExecutionLog executionLog() {
        return executionLog;
    }

    @Override
    public void close() throws IOException {
        endpointList.close();
        transport.close();
        loop.close();
    }
}
