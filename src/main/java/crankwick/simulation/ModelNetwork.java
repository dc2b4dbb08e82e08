package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import crankwick.broker.BrokerEvent;
import crankwick.broker.Effect;
import crankwick.model.GroupModel;
import crankwick.model.ModelEffect;
import crankwick.model.ModelEvent;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The network between the proxy and the modelled groups: attempts and health checks take their time each way,
 * find a hung machine, and now and then lose their connection.
 */
final class ModelNetwork {
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MILLIS;
    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 250 * MILLIS;
    /** Connections that break, each before, during and after the work. */
    private static final int BREAKS_PER_TEN_THOUSAND = 20;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final List<SimulatedGroup> groups;
    private final Consumer<BrokerEvent> proxy;
    private final BiConsumer<SimulatedGroup, Integer> onLeaderElected;
    private final Map<Long, NetworkExchange> atModels = new HashMap<>();
    private final Map<Long, NetworkExchange> attempts = new LinkedHashMap<>();
    private long generation;
    private long exchanges;

    ModelNetwork(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            List<SimulatedGroup> groups,
            Consumer<BrokerEvent> proxy,
            BiConsumer<SimulatedGroup, Integer> onLeaderElected) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.groups = groups;
        this.proxy = proxy;
        this.onLeaderElected = onLeaderElected;
    }

    private SimulatedGroup groupOf(NetworkExchange exchange) {
        return groups.get(SimulatedGroup.groupOf(exchange.endpointId()));
    }

    // ---- The proxy's side ----------------------------------------------------------------------------

    /** The proxy's process has ended: its connections are closed, and what was on its way is lost. */
    void reset() {
        generation++;
        for (NetworkExchange exchange : List.copyOf(atModels.values())) {
            exchange.finish();
            closeConnection(exchange);
        }
        attempts.clear();
    }

    /** The proxy waits for an attempt no longer. */
    void cancelAttempt(long requestId) {
        NetworkExchange exchange = attempts.remove(requestId);
        if (exchange != null) {
            AttemptResult result = exchange.isWritten() ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT;
            exchange.finish();
            audit.onAttemptEnded(clock.now(), requestId, result);
            clock.scheduleAfter(random.networkDelay(), () -> closeConnection(exchange));
        }
    }

    /** An attempt of which nothing has been written ends. */
    void cancelQueued(long requestId) {
        NetworkExchange exchange = attempts.get(requestId);
        if (exchange != null && !exchange.isWritten()) {
            end(exchange, AttemptResult.NOT_SENT, null);
        }
    }

    /** Sends an attempt, with its idempotency key and the position that it must see. */
    void send(Effect.SendAttempt attempt, String idempotencyKey, long requiredPosition) {
        audit.onAttemptSent(clock.now(), attempt.requestId(), attempt.endpointId());
        NetworkExchange exchange =
                NetworkExchange.attempt(++exchanges, attempt, clock.now(), idempotencyKey, requiredPosition);
        attempts.put(attempt.requestId(), exchange);
        travel(exchange);
    }

    void checkHealth(String endpointId) {
        NetworkExchange exchange = NetworkExchange.healthCheck(++exchanges, endpointId, clock.now());
        travel(exchange);
        clock.scheduleAfter(HEALTH_CHECK_TIMEOUT_MICROS, () -> end(exchange, AttemptResult.TIMEOUT, null));
    }

    // ---- On the way ----------------------------------------------------------------------------------

    /** A hung machine accepts no new connection; half of the attempts find one that is open. */
    private void travel(NetworkExchange exchange) {
        long expected = generation;
        GroupModel model = groupOf(exchange).model();
        int member = exchange.member();
        if (!model.isResponsive(member) && !model.refusesConnections(member) && random.nextBoolean()) {
            clock.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> end(exchange, AttemptResult.UNREACHABLE, null));
        } else if (random.chance(BREAKS_PER_TEN_THOUSAND)) {
            clock.scheduleAfter(
                    random.networkDelay(), () -> end(exchange, AttemptResult.CONNECTION_LOST_BEFORE_SEND, null));
        } else {
            clock.scheduleAfter(random.networkDelay(), () -> {
                if (!exchange.isFinished() && expected == generation) {
                    arrive(exchange);
                }
            });
        }
    }

    private void arrive(NetworkExchange exchange) {
        SimulatedGroup group = groupOf(exchange);
        atModels.put(exchange.exchangeId(), exchange);
        if (!exchange.isHealthCheck() && !group.model().refusesConnections(exchange.member())) {
            exchange.setWritten();
            proxy.accept(new BrokerEvent.AttemptWritten(exchange.requestId(), exchange.attempt()));
        }
        deliver(group, exchange.toModelEvent());
        if (random.chance(BREAKS_PER_TEN_THOUSAND)) {
            clock.scheduleAfter(random.networkDelay(), () -> breakConnection(exchange));
        }
    }

    private void breakConnection(NetworkExchange exchange) {
        if (atModels.containsKey(exchange.exchangeId())) {
            closeConnection(exchange);
            end(exchange, AttemptResult.RESET, null);
        }
    }

    private void closeConnection(NetworkExchange exchange) {
        atModels.remove(exchange.exchangeId());
        deliver(groupOf(exchange), new ModelEvent.ConnectionClosed(exchange.exchangeId()));
    }

    private void end(NetworkExchange exchange, AttemptResult result, ModelEffect.ResponseSent answer) {
        if (exchange.isFinished()) {
            return;
        }
        exchange.finish();
        long duration = clock.now() - exchange.startedAt();
        LoadReport report = answer == null ? null : answer.report();
        if (exchange.isHealthCheck()) {
            proxy.accept(new BrokerEvent.HealthCheckEnded(exchange.endpointId(), result, duration, report));
            return;
        }
        attempts.remove(exchange.requestId(), exchange);
        audit.onAttemptEnded(clock.now(), exchange.requestId(), result);
        proxy.accept(new BrokerEvent.AttemptEnded(
                exchange.requestId(),
                exchange.attempt(),
                result,
                duration,
                answer == null ? Role.UNKNOWN : answer.role(),
                answer == null ? AbsentValue.NONE : answer.position(),
                report,
                new byte[1]));
    }

    // ---- The databases' side -------------------------------------------------------------------------

    /** Delivers an event to a group, and carries out what follows. */
    void deliver(SimulatedGroup group, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        group.model().handle(event, clock.now(), effects::add);
        for (ModelEffect effect : effects) {
            carryOut(group, effect);
        }
        long dueAt = group.model().nextTimerDue();
        if (dueAt < group.timerDueAt()) {
            group.setTimerDueAt(dueAt);
            clock.schedule(dueAt, () -> {
                if (group.timerDueAt() == dueAt) {
                    group.setTimerDueAt(Long.MAX_VALUE);
                    deliver(group, new ModelEvent.TimerDue());
                }
            });
        }
    }

    private void carryOut(SimulatedGroup group, ModelEffect effect) {
        audit.onModelEffect(clock.now(), group.id(), effect);
        if (effect instanceof ModelEffect.ResponseSent e) {
            NetworkExchange exchange = atModels.remove(e.exchangeId());
            if (exchange != null) {
                returnAnswer(exchange, e);
            }
        } else if (effect instanceof ModelEffect.ConnectionFailed e) {
            NetworkExchange exchange = atModels.remove(e.exchangeId());
            if (exchange != null) {
                AttemptResult result = e.refused() ? AttemptResult.UNREACHABLE : AttemptResult.RESET;
                clock.scheduleAfter(random.networkDelay(), () -> end(exchange, result, null));
            }
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            onLeaderElected.accept(group, e.member());
        }
    }

    private void returnAnswer(NetworkExchange exchange, ModelEffect.ResponseSent answer) {
        boolean lost = random.chance(BREAKS_PER_TEN_THOUSAND);
        AttemptResult result = lost ? AttemptResult.RESET : answer.result();
        clock.scheduleAfter(random.networkDelay(), () -> end(exchange, result, lost ? null : answer));
    }
}
