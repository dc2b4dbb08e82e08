package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import crankwick.broker.BrokerEvent;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Discovery as the proxy sees it: endpoint lists, in which roles and starts show late. */
final class SimulatedDiscovery {
    private static final long MIN_DELAY_MICROS = 2_800 * MILLIS;
    private static final long MAX_DELAY_MICROS = 4_900 * MILLIS;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final Consumer<BrokerEvent> proxy;
    private final boolean trustLateRoles;

    /** {@code trustLateRoles}: a deliberate defect, where the proxy takes a listed role for a member's own word. */
    SimulatedDiscovery(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            Consumer<BrokerEvent> proxy,
            boolean trustLateRoles) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.proxy = proxy;
        this.trustLateRoles = trustLateRoles;
    }

    /** Draws how late the list shows a change of a role or a start, in microseconds. */
    long drawDelay() {
        return random.between(MIN_DELAY_MICROS, MAX_DELAY_MICROS);
    }

    /** Lists new roles of two members, late. */
    void publishLeaderLate(SimulatedGroup group, int previous, int leader) {
        clock.scheduleAfter(drawDelay(), () -> {
            group.listRole(previous, Role.REPLICA);
            group.listRole(leader, Role.PRIMARY);
            publish(group, previous);
            publish(group, leader);
        });
    }

    /** Sends the proxy a member as it is listed by now. */
    void publish(SimulatedGroup group, int member) {
        Endpoint endpoint = group.endpoint(member);
        recordListed(endpoint);
        audit.trace(clock.now(), group.id(), "listed " + endpoint);
        proxy.accept(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.INCREMENTAL, List.of(endpoint)));
        if (trustLateRoles && endpoint.role() == Role.PRIMARY) {
            LoadReport report = new LoadReport(clock.now(), Role.PRIMARY, 0, 0, Double.NaN);
            proxy.accept(new BrokerEvent.HealthCheckEnded(endpoint.id(), AttemptResult.OK, 0, report));
        }
    }

    /** Sends a proxy that has just started the whole list. */
    void publishAll(List<SimulatedGroup> groups, int members) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (SimulatedGroup group : groups) {
            for (int member = 0; member < members; member++) {
                Endpoint endpoint = group.endpoint(member);
                recordListed(endpoint);
                endpoints.add(endpoint);
            }
        }
        proxy.accept(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.RESTORED, endpoints));
    }

    private void recordListed(Endpoint endpoint) {
        audit.onListed(clock.now(), endpoint.id(), endpoint.status() != EndpointStatus.LIVE);
    }
}
