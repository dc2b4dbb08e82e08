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
 * Simulates failovers: runs the production broker, router and failover coordinator against modelled groups in
 * simulated time, with delays, lost connections, faults and proxy restarts drawn by seed, and checks every step with
 * {@link FailoverAudit}. The same options give the same run (as in FoundationDB's simulation testing; Zhou et
 * al., SIGMOD 2021).
 */
public final class FailoverSimulation {
    /**
     * A deliberate defect in the settings of the broker, in its environment or in the reports to the audit. The audit
     * must detect it.
     */
    public enum Defect {
        NONE,
        /** Deliberate defect: the proxy is configured with a longer key TTL than the databases use. */
        RESEND_AFTER_WINDOW,
        /**
         * Deliberate defect: when discovery publishes a member as primary, the proxy also receives a health check
         * result with this role, as if the member had reported the possibly outdated role itself.
         */
        LATE_LIST_BELIEVED,
        /**
         * Deliberate defect: once the proxy process has released a buffered request, every attempt is reported to the
         * audit twice, although it is sent only once.
         */
        HELD_SENT_TWICE,
        /**
         * Deliberate defect: the initial release window of the failover coordinator is set so large that it practically
         * does not limit how many buffered requests are released at once.
         */
        RELEASE_WITHOUT_PACE
    }

    /**
     * Options of a run.
     *
     * @param groups number of groups of three databases, at least 1
     * @param failovers number of failovers after which the run ends unless it reaches its time limit, at least 1
     * @param failover settings of the failover coordinator; null to run without a coordinator, so that only the router
     *     handles failovers, as in earlier versions
     */
    public record Options(int groups, int failovers, long seed, FailoverSettings failover, Defect defect) {}

    private static final long START_MICROS = 1_000_000 * SECONDS;
    /**
     * Limits the simulated time of a run: this much for each requested failover, divided by the number of groups, plus
     * this much once.
     */
    private static final long MAX_MICROS_PER_FAILOVER = 60 * SECONDS;
    /** How long open requests have to complete after the requested number of failovers or the time limit is reached. */
    private static final long COOL_DOWN_MICROS = 10 * SECONDS;

    private static final long MIN_RESTART_INTERVAL_MICROS = 60 * SECONDS;
    private static final long MAX_RESTART_INTERVAL_MICROS = 180 * SECONDS;
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
    private boolean coolingDown;

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
                () -> coolingDown);
        proxy = new SimulatedProxy(clock, random, audit, network, clients, options.defect() == Defect.HELD_SENT_TWICE);
        faults = new FaultSchedule(
                clock, random, audit, network, modelSettings.memberCount(), discovery, () -> coolingDown);
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

    /** Runs the simulation to its end. */
    public FailoverReport run() {
        long startedAtNanos = System.nanoTime();
        createGroups();
        startProxy();
        scheduleProxyRestart();
        runUntilFailoverTarget();
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

    /** The first violation with its trace; null if there is none. */
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

    private void runUntilFailoverTarget() {
        long timeLimit = START_MICROS
                + MAX_MICROS_PER_FAILOVER * options.failovers() / options.groups()
                + MAX_MICROS_PER_FAILOVER;
        while (audit.failovers() < options.failovers() && clock.now() < timeLimit && clock.runNext()) {
            maxBuffered = Math.max(maxBuffered, proxy.bufferedRequests());
        }
    }

    private void coolDown() {
        coolingDown = true;
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
        discovery.publishFullList(groups, modelSettings.memberCount());
    }

    private void scheduleProxyRestart() {
        clock.scheduleAfter(random.between(MIN_RESTART_INTERVAL_MICROS, MAX_RESTART_INTERVAL_MICROS), () -> {
            if (!coolingDown) {
                restartProxy();
                scheduleProxyRestart();
            }
        });
    }

    /** Kills the proxy process and starts a new one. */
    private void restartProxy() {
        proxyRestarts++;
        audit.onProxyEnded();
        network.onProxyEnded();
        for (AuditedRequest request : audit.openRequests()) {
            audit.onRequestLost(request);
            audit.onAttemptEnded(clock.now(), request.requestId(), AttemptResult.NOT_SENT);
            clients.onConnectionLost(request);
        }
        startProxy();
    }

    private void onLeaderElected(SimulatedGroup group, int member) {
        GroupModel model = group.model();
        long leaderLossCount = audit.onLeaderElected(group.id(), group.lastLeader() != member);
        long electedAt = clock.now();
        boolean couldCommit = model.canCommitWrites();
        clock.scheduleAfter(FailoverAudit.RECOVERY_MARGIN_MICROS, () -> {
            if (couldCommit && model.canCommitWrites()) {
                boolean warmingUp = electedAt < model.startedAt(member) + modelSettings.warmUpMicros();
                audit.onLeaderStable(group.id(), leaderLossCount, electedAt, group.endpointId(member), warmingUp);
            }
        });
        int previous = group.lastLeader();
        group.setLastLeader(member);
        discovery.publishLeaderDelayed(group, previous, member);
    }
}
