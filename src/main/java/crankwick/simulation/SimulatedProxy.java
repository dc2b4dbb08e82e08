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

/** The proxy under test: the real broker, whose effects are carried out on the simulated network and clients. */
final class SimulatedProxy {
    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final ModelNetwork network;
    private final SimulatedClients clients;
    /** A deliberate defect: a request that was buffered is sent twice. */
    private final boolean sendsBufferedTwice;

    private Broker broker;
    private long generation;

    SimulatedProxy(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            ModelNetwork network,
            SimulatedClients clients,
            boolean sendsBufferedTwice) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.network = network;
        this.clients = clients;
        this.sendsBufferedTwice = sendsBufferedTwice;
    }

    /** Starts a new process, which knows nothing of an earlier one; {@code failover} may be null for none. */
    void start(RoutingSettings routing, FailoverSettings failover) {
        generation++;
        clients.onProxyStarted();
        broker = new Broker(routing, random.nextSeed(), Map.of("", Contract.UNLIMITED), failover);
    }

    /** Requests that are buffered now. */
    long buffered() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.bufferedRequests();
    }

    private long failoversSeen() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.counters().failovers();
    }

    private long released() {
        FailoverCoordinator coordinator = broker.failoverCoordinator();
        return coordinator == null ? 0 : coordinator.counters().released();
    }

    void handle(BrokerEvent event) {
        long failoversBefore = failoversSeen();
        long releasedBefore = released();
        List<Effect> effects = broker.reduce(event, clock.now());
        if (failoversSeen() > failoversBefore) {
            audit.onReleased(clock.now(), (int) (released() - releasedBefore));
        }
        effects.forEach(this::carryOut);
    }

    private void carryOut(Effect effect) {
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
        if (sendsBufferedTwice && broker.failoverCoordinator().counters().released() > 0) {
            audit.onAttemptSent(clock.now(), requestId, attempt.endpointId());
        }
    }

    private void scheduleTimer(Effect.ScheduleTimer timer) {
        long expected = generation;
        clock.scheduleAfter(timer.delay(), () -> {
            if (expected == generation) {
                handle(timer.event());
            }
        });
    }

    /** The proxy's lines begin with "group N" or a member's id. */
    private static int groupOfLogLine(String line) {
        int from = line.startsWith("group ") ? "group ".length() : 1;
        int to = from;
        while (to < line.length() && Character.isDigit(line.charAt(to))) {
            to++;
        }
        return to > from ? Integer.parseInt(line.substring(from, to)) : 0;
    }
}
