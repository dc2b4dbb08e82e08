package crankwick.simulation;

import crankwick.broker.Broker;
import crankwick.broker.BrokerEvent;
import crankwick.broker.Contract;
import crankwick.broker.Effect;
import crankwick.failover.FailoverCoordinator;
import crankwick.failover.FailoverSettings;
import crankwick.routing.api.RoutingSettings;
import java.util.List;
import java.util.Map;

/** The proxy under test: the production broker, whose effects are executed on the simulated network and clients. */
final class SimulatedProxy {
    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final ModelNetwork network;
    private final SimulatedClients clients;
    /** Deliberate defect: reports each attempt to the audit twice once this process has released a buffered request. */
    private final boolean reportsAttemptsTwice;

    private Broker broker;
    private long generation;

    SimulatedProxy(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            ModelNetwork network,
            SimulatedClients clients,
            boolean reportsAttemptsTwice) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.network = network;
        this.clients = clients;
        this.reportsAttemptsTwice = reportsAttemptsTwice;
    }

    /** Starts a new process without the state of an earlier one; {@code failover} is null for no coordinator. */
    void start(RoutingSettings routing, FailoverSettings failover) {
        generation++;
        clients.onProxyStarted();
        broker = new Broker(routing, random.nextSeed(), Map.of("", Contract.UNLIMITED), failover);
    }

    /** The number of requests that are currently buffered. */
    long bufferedRequests() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.bufferedRequests();
    }

    private long detectedFailovers() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.counters().failovers();
    }

    private long releasedRequests() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.counters().released();
    }

    void handle(BrokerEvent event) {
        long failoversBefore = detectedFailovers();
        long releasedBefore = releasedRequests();
        List<Effect> effects = broker.reduce(event, clock.now());
        if (detectedFailovers() > failoversBefore) {
            audit.onReleased(clock.now(), (int) (releasedRequests() - releasedBefore));
        }
        effects.forEach(this::execute);
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.SendAttempt e) {
            send(e);
        } else if (effect instanceof Effect.SendReply e) {
            clients.onReply(e.requestId(), e.reply());
        } else if (effect instanceof Effect.CancelAttempt e) {
            network.cancelAttempt(e.requestId());
        } else if (effect instanceof Effect.CancelQueuedAttempt e) {
            network.cancelQueued(e.requestId());
        } else if (effect instanceof Effect.CheckHealth e) {
            network.checkHealth(e.endpointId());
        } else if (effect instanceof Effect.ScheduleTimer e) {
            scheduleTimer(e);
        } else if (effect instanceof Effect.Log e) {
            audit.trace(clock.now(), groupOfLogLine(e.line()), e.line());
        }
    }

    private void send(Effect.SendAttempt attempt) {
        long requestId = attempt.requestId();
        network.send(attempt, clients.idempotencyKeyOf(requestId), clients.requiredPositionOf(requestId));
        if (reportsAttemptsTwice && broker.failoverCoordinator().counters().released() > 0) {
            audit.onAttemptSent(clock.now(), requestId, attempt.endpointId());
        }
    }

    private void scheduleTimer(Effect.ScheduleTimer timer) {
        long expectedGeneration = generation;
        clock.scheduleAfter(timer.delay(), () -> {
            if (expectedGeneration == generation) {
                handle(timer.event());
            }
        });
    }

    /** Returns the group of a broker log line that starts with "group N" or with an endpoint id; 0 for other lines. */
    private static int groupOfLogLine(String line) {
        int from = line.startsWith("group ") ? "group ".length() : 1;
        int to = from;
        while (to < line.length() && Character.isDigit(line.charAt(to))) {
            to++;
        }
        return to > from ? Integer.parseInt(line.substring(from, to)) : 0;
    }
}
