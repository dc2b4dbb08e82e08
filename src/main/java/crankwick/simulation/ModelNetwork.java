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
 * The network between the proxy and the modelled groups. Attempts and health checks are delayed in both directions, may
 * fail to connect to a hung member, and may lose their connection at random.
 */
final class ModelNetwork {
    private static final long CONNECT_TIMEOUT_MICROS = 250 * MILLIS;
    private static final long HEALTH_CHECK_TIMEOUT_MICROS = 250 * MILLIS;
    /**
     * Connection failures per 10,000 exchanges, drawn separately before sending, during execution and while the
     * response returns.
     */
    private static final int CONNECTION_FAILURES_PER_TEN_THOUSAND = 20;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final List<SimulatedGroup> groups;
    private final Consumer<BrokerEvent> proxy;
    private final BiConsumer<SimulatedGroup, Integer> onLeaderElected;
    private final Map<Long, NetworkExchange> exchangesAtModels = new HashMap<>();
    private final Map<Long, NetworkExchange> attempts = new LinkedHashMap<>();
    private long proxyGeneration;
    private long lastExchangeId;

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

    /**
     * The proxy process has ended: closes the connections of the exchanges that members are processing, and drops those
     * in transit to a member. Results in transit to the proxy still arrive, at the new process.
     */
    void onProxyEnded() {
        proxyGeneration++;
        for (NetworkExchange exchange : List.copyOf(exchangesAtModels.values())) {
            exchange.finish();
            closeConnection(exchange);
        }
        attempts.clear();
    }

    /**
     * Ends the attempt in flight of a request at once, without a result for the proxy; its connection to the member is
     * closed after a network delay.
     */
    void cancelAttempt(long requestId) {
        NetworkExchange exchange = attempts.remove(requestId);
        if (exchange != null) {
            AttemptResult result = exchange.isWritten() ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT;
            exchange.finish();
            audit.onAttemptEnded(clock.now(), requestId, result);
            clock.scheduleAfter(random.networkDelay(), () -> closeConnection(exchange));
        }
    }

    /**
     * Ends the attempt in flight of a request, with NOT_SENT as its result for the proxy, unless it has already been
     * written to a member.
     */
    void cancelQueued(long requestId) {
        NetworkExchange exchange = attempts.get(requestId);
        if (exchange != null && !exchange.isWritten()) {
            complete(exchange, AttemptResult.NOT_SENT, null);
        }
    }

    /** Sends an attempt with its idempotency key and the replication position that it requires. */
    void send(Effect.SendAttempt attempt, String idempotencyKey, long requiredPosition) {
        audit.onAttemptSent(clock.now(), attempt.requestId(), attempt.endpointId());
        NetworkExchange exchange =
                NetworkExchange.attempt(++lastExchangeId, attempt, clock.now(), idempotencyKey, requiredPosition);
        attempts.put(attempt.requestId(), exchange);
        transmit(exchange);
    }

    void checkHealth(String endpointId) {
        NetworkExchange exchange = NetworkExchange.healthCheck(++lastExchangeId, endpointId, clock.now());
        transmit(exchange);
        clock.scheduleAfter(HEALTH_CHECK_TIMEOUT_MICROS, () -> complete(exchange, AttemptResult.TIMEOUT, null));
    }

    // ---- In transit ----------------------------------------------------------------------------------

    /**
     * Starts an exchange. A hung member accepts no new connections: half of the exchanges with it reuse an open
     * connection, the others fail after the connect timeout.
     */
    private void transmit(NetworkExchange exchange) {
        long expectedGeneration = proxyGeneration;
        GroupModel model = groupOf(exchange).model();
        int member = exchange.member();
        if (!model.isResponsive(member) && !model.refusesConnections(member) && random.nextBoolean()) {
            clock.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> complete(exchange, AttemptResult.UNREACHABLE, null));
        } else if (random.chance(CONNECTION_FAILURES_PER_TEN_THOUSAND)) {
            clock.scheduleAfter(
                    random.networkDelay(), () -> complete(exchange, AttemptResult.CONNECTION_LOST_BEFORE_SEND, null));
        } else {
            clock.scheduleAfter(random.networkDelay(), () -> {
                if (!exchange.isFinished() && expectedGeneration == proxyGeneration) {
                    deliverToMember(exchange);
                }
            });
        }
    }

    private void deliverToMember(NetworkExchange exchange) {
        SimulatedGroup group = groupOf(exchange);
        exchangesAtModels.put(exchange.exchangeId(), exchange);
        if (!exchange.isHealthCheck() && !group.model().refusesConnections(exchange.member())) {
            exchange.setWritten();
            proxy.accept(new BrokerEvent.AttemptWritten(exchange.requestId(), exchange.attempt()));
        }
        deliver(group, exchange.toModelEvent());
        if (random.chance(CONNECTION_FAILURES_PER_TEN_THOUSAND)) {
            clock.scheduleAfter(random.networkDelay(), () -> resetConnection(exchange));
        }
    }

    private void resetConnection(NetworkExchange exchange) {
        if (exchangesAtModels.containsKey(exchange.exchangeId())) {
            closeConnection(exchange);
            complete(exchange, AttemptResult.RESET, null);
        }
    }

    private void closeConnection(NetworkExchange exchange) {
        exchangesAtModels.remove(exchange.exchangeId());
        deliver(groupOf(exchange), new ModelEvent.ConnectionClosed(exchange.exchangeId()));
    }

    private void complete(NetworkExchange exchange, AttemptResult result, ModelEffect.ResponseSent response) {
        if (exchange.isFinished()) {
            return;
        }
        exchange.finish();
        long duration = clock.now() - exchange.startedAt();
        LoadReport report = response == null ? null : response.report();
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
                response == null ? Role.UNKNOWN : response.role(),
                response == null ? AbsentValue.NONE : response.position(),
                report,
                new byte[1]));
    }

    // ---- The databases' side -------------------------------------------------------------------------

    /** Delivers an event to a group and executes the resulting effects. */
    void deliver(SimulatedGroup group, ModelEvent event) {
        List<ModelEffect> effects = new ArrayList<>(2);
        group.model().handle(event, clock.now(), effects::add);
        for (ModelEffect effect : effects) {
            execute(group, effect);
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

    private void execute(SimulatedGroup group, ModelEffect effect) {
        audit.onModelEffect(clock.now(), group.id(), effect);
        if (effect instanceof ModelEffect.ResponseSent e) {
            NetworkExchange exchange = exchangesAtModels.remove(e.exchangeId());
            if (exchange != null) {
                returnResponse(exchange, e);
            }
        } else if (effect instanceof ModelEffect.ConnectionFailed e) {
            NetworkExchange exchange = exchangesAtModels.remove(e.exchangeId());
            if (exchange != null) {
                AttemptResult result = e.refused() ? AttemptResult.UNREACHABLE : AttemptResult.RESET;
                clock.scheduleAfter(random.networkDelay(), () -> complete(exchange, result, null));
            }
        } else if (effect instanceof ModelEffect.LeaderElected e) {
            onLeaderElected.accept(group, e.member());
        }
    }

    private void returnResponse(NetworkExchange exchange, ModelEffect.ResponseSent response) {
        boolean lost = random.chance(CONNECTION_FAILURES_PER_TEN_THOUSAND);
        AttemptResult result = lost ? AttemptResult.RESET : response.result();
        clock.scheduleAfter(random.networkDelay(), () -> complete(exchange, result, lost ? null : response));
    }
}
