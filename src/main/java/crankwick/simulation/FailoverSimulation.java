package crankwick.simulation;

import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.broker.BrokerEvent;
import crankwick.failover.FailoverSettings;
import crankwick.model.GroupModel;
import crankwick.model.ModelSettings;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.RoutingSettings;
import java.util.ArrayList;
import java.util.List;

/**
 * Explores failovers in simulated time: the real broker, router and failover coordinator over modelled groups,
 * with delays, lost connections, faults and restarts of the proxy drawn by seed, checked at every step by
 * {@link FailoverAudit}. The same options give the same run (as in FoundationDB's simulation testing; Zhou et
 * al., SIGMOD 2021).
 */
public final class FailoverSimulation {
    /** A deliberate defect of the world around the broker or of its settings, which the audit must catch. */
    public enum Defect {
        NONE,
        /** The proxy takes keys to be remembered for longer than they are. */
        RESEND_AFTER_WINDOW,
        /** The proxy takes a role in the endpoint list for a member's own word. */
        LATE_LIST_BELIEVED,
        /** A buffered request is sent twice. */
        HELD_SENT_TWICE,
        /** Buffered requests are released all at once. */
        RELEASE_WITHOUT_PACE
    }

    /**
     * What to run.
     *
     * @param groups groups of three databases, 1 or more
     * @param failovers changes of leaders after which the run comes to its end, 1 or more
     * @param failover settings of failovers; null leaves them to the router alone, as earlier versions did
     */
    public record Options(int groups, int failovers, long seed, FailoverSettings failover, Defect defect) {}

    private static final long START_MICROS = 1_000_000 * SECONDS;
    /** The longest run, in simulated time, for each failover wanted. */
    private static final long MAX_MICROS_PER_FAILOVER = 60 * SECONDS;
    /** How long requests have to end after the last failover. */
    private static final long COOL_DOWN_MICROS = 10 * SECONDS;

    private static final long MIN_RESTART_PAUSE_MICROS = 60 * SECONDS;
    private static final long MAX_RESTART_PAUSE_MICROS = 180 * SECONDS;
    private static final long DEFECTIVE_KEY_TTL_MICROS = 60 * SECONDS;

    private final Options options;
    private final SimulatedClock clock = new SimulatedClock(START_MICROS);
    private final SimulationRandom random;
    private final ModelSettings modelSettings = ModelSettings.DEFAULT;
    private final RoutingSettings routingSettings;
    private final FailoverSettings failoverSettings;
    private final FailoverAudit audit;
    private final List<SimulatedGroup> groups = new ArrayList<>();
    private final ModelNetwork network;
    private final SimulatedDiscovery discovery;
    private final SimulatedClients clients;
    private final SimulatedProxy proxy;
    private final FaultSchedule faults;
    private long maxBuffered;
    private long proxyRestarts;
    private boolean ending;

    /** Prepares a run. */
    public FailoverSimulation(Options options) {
        this.options = options;
        random = new SimulationRandom(options.seed());
        boolean keyTtlDefect = options.defect() == Defect.RESEND_AFTER_WINDOW;
        routingSettings =
                SimulationSettings.routing(keyTtlDefect ? DEFECTIVE_KEY_TTL_MICROS : SimulationSettings.KEY_TTL_MICROS);
        failoverSettings = failoverSettings(options);
        audit = new FailoverAudit(options.groups(), auditLimits(routingSettings));
        network = new ModelNetwork(clock, random, audit, groups, this::handle, this::onLeaderElected);
        discovery = new SimulatedDiscovery(
                clock, random, audit, this::handle, options.defect() == Defect.LATE_LIST_BELIEVED);
        clients = new SimulatedClients(
                clock,
                random,
                audit,
                routingSettings.requestClasses(),
                failoverSettings != null,
                this::handle,
                () -> ending);
        proxy = new SimulatedProxy(clock, random, audit, network, clients, options.defect() == Defect.HELD_SENT_TWICE);
        faults = new FaultSchedule(clock, random, audit, network, modelSettings.memberCount(), discovery, () -> ending);
    }

    private static FailoverSettings failoverSettings(Options options) {
        boolean unpaced = options.defect() == Defect.RELEASE_WITHOUT_PACE && options.failover() != null;
        return unpaced ? SimulationSettings.withoutPacing(options.failover()) : options.failover();
    }

    private static FailoverAudit.Limits auditLimits(RoutingSettings settings) {
        return new FailoverAudit.Limits(
                settings.rules().answerSlack(),
                settings.rules().drainGrace(),
                SimulationSettings.KEY_TTL_MICROS,
                FailoverSettings.DEFAULT.initialWindow());
    }

    /** Runs to the end. */
    public FailoverReport run() {
        long startedAtNanos = System.nanoTime();
        createGroups();
        startProxy();
        scheduleProxyRestart();
        runUntilFailoversAreReached();
        coolDown();
        audit.end(clock.now());
        return new FailoverReport(
                audit.summary(),
                maxBuffered,
                proxyRestarts,
                (clock.now() - START_MICROS) / SECONDS,
                options.seed(),
                Math.round((System.nanoTime() - startedAtNanos) / 1e7) / 100.0);
    }

    /** The first violation with its trace; null for none. */
    public String firstViolation() {
        return audit.firstViolation();
    }

    private void createGroups() {
        for (int id = 0; id < options.groups(); id++) {
            GroupModel model = new GroupModel(modelSettings, random.nextSeed(), START_MICROS);
            SimulatedGroup group = new SimulatedGroup(id, model, modelSettings.memberCount());
            groups.add(group);
            clients.scheduleArrival(group);
            faults.scheduleNext(group);
        }
    }

    private void runUntilFailoversAreReached() {
        long latest = START_MICROS
                + MAX_MICROS_PER_FAILOVER * options.failovers() / options.groups()
                + MAX_MICROS_PER_FAILOVER;
        while (audit.failovers() < options.failovers() && clock.now() < latest && clock.runNext()) {
            maxBuffered = Math.max(maxBuffered, proxy.buffered());
        }
    }

    private void coolDown() {
        ending = true;
        long end = clock.now() + COOL_DOWN_MICROS;
        clock.schedule(end, () -> {});
        while (clock.now() < end && clock.runNext()) {
            continue;
        }
    }

    private void handle(BrokerEvent event) {
        proxy.handle(event);
    }

    private void startProxy() {
        proxy.start(routingSettings, failoverSettings);
        discovery.publishAll(groups, modelSettings.memberCount());
    }

    private void scheduleProxyRestart() {
        clock.scheduleAfter(random.between(MIN_RESTART_PAUSE_MICROS, MAX_RESTART_PAUSE_MICROS), () -> {
            if (!ending) {
                restartProxy();
                scheduleProxyRestart();
            }
        });
    }

    /** The proxy's process is killed, and another one starts. */
    private void restartProxy() {
        proxyRestarts++;
        audit.onProxyEnded();
        network.reset();
        for (AuditedRequest request : audit.openRequests()) {
            audit.onRequestLost(request);
            audit.onAttemptEnded(clock.now(), request.requestId(), AttemptResult.NOT_SENT);
            clients.onConnectionLost(request);
        }
        startProxy();
    }

    private void onLeaderElected(SimulatedGroup group, int member) {
        GroupModel model = group.model();
        long leaderLosses = audit.onLeaderElected(group.id(), group.lastLeader() != member);
        long electedAt = clock.now();
        boolean commits = model.canCommitWrites();
        clock.scheduleAfter(FailoverAudit.RECOVERY_MARGIN_MICROS, () -> {
            if (commits && model.canCommitWrites()) {
                boolean warmingUp = electedAt < model.startedAt(member) + modelSettings.warmUpMicros();
                audit.onLeaderStable(group.id(), leaderLosses, electedAt, group.endpointId(member), warmingUp);
            }
        });
        int previous = group.lastLeader();
        group.setLastLeader(member);
        discovery.publishLeaderLate(group, previous, member);
    }
}
