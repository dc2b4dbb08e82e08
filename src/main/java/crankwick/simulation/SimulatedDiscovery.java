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

/** Discovery for one proxy: publishes endpoint lists in which changes of roles and start times are delayed. */
final class SimulatedDiscovery {
    private static final long MIN_DELAY_MICROS = 2_800 * MILLIS;
    private static final long MAX_DELAY_MICROS = 4_900 * MILLIS;

    private final SimulatedClock clock;
    private final SimulationRandom random;
    private final FailoverAudit audit;
    private final Consumer<BrokerEvent> proxy;
    private final boolean trustListedRoles;

    /**
     * {@code trustListedRoles} is a deliberate defect: a member that is published as primary also reaches the proxy
     * with this role in a load report, as if the member had sent it.
     */
    SimulatedDiscovery(
            SimulatedClock clock,
            SimulationRandom random,
            FailoverAudit audit,
            Consumer<BrokerEvent> proxy,
            boolean trustListedRoles) {
        this.clock = clock;
        this.random = random;
        this.audit = audit;
        this.proxy = proxy;
        this.trustListedRoles = trustListedRoles;
    }

    /** Draws the delay in microseconds until the endpoint list shows a changed role or start time. */
    long drawDelay() {
        return random.between(MIN_DELAY_MICROS, MAX_DELAY_MICROS);
    }

    /** Publishes the roles of the previous and the new leader after the delay of {@link #drawDelay}. */
    void publishLeaderDelayed(SimulatedGroup group, int previous, int leader) {
        clock.scheduleAfter(drawDelay(), () -> {
            group.setListedRole(previous, Role.REPLICA);
            group.setListedRole(leader, Role.PRIMARY);
            publish(group, previous);
            publish(group, leader);
        });
    }

    /** Publishes the current list entry of a member to the proxy. */
    void publish(SimulatedGroup group, int member) {
        Endpoint endpoint = group.endpoint(member);
        reportToAudit(endpoint);
        audit.trace(clock.now(), group.id(), "discovery published " + endpoint);
        proxy.accept(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.INCREMENTAL, List.of(endpoint)));
        if (trustListedRoles && endpoint.role() == Role.PRIMARY) {
            LoadReport report = new LoadReport(clock.now(), Role.PRIMARY, 0, 0, Double.NaN);
            proxy.accept(new BrokerEvent.HealthCheckEnded(endpoint.id(), AttemptResult.OK, 0, report));
        }
    }

    /** Publishes the full list to a proxy that has just started. */
    void publishFullList(List<SimulatedGroup> groups, int members) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (SimulatedGroup group : groups) {
            for (int member = 0; member < members; member++) {
                Endpoint endpoint = group.endpoint(member);
                reportToAudit(endpoint);
                endpoints.add(endpoint);
            }
        }
        proxy.accept(new BrokerEvent.EndpointsUpdated(EndpointUpdateKind.RESTORED, endpoints));
    }

    private void reportToAudit(Endpoint endpoint) {
        audit.onEndpointPublished(clock.now(), endpoint.id(), endpoint.status() != EndpointStatus.LIVE);
    }
}
