package crankwick.broker;

import crankwick.failover.FailoverActions;
import crankwick.failover.FailoverCoordinator;
import crankwick.failover.FailoverSettings;
import crankwick.routing.Router;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.TimerFired;
import java.util.List;
import java.util.Map;

/**
 * The reducer: every change of a request's state happens here, on one thread, as (event, now) to effects. It only
 * orders the steps: the event first, then what the router decides on it, then what follows for failovers.
 */
public final class Broker {
    private final Reduction reduction = new Reduction();
    private final BrokerCounters counters = new BrokerCounters();
    private final ActiveRequests requests = new ActiveRequests();
    private final FailoverGate failover;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final RoutingDriver routing;
    private final DeadlineHandler deadlines;
    private final FailoverActions failoverActions;

    /**
     * Serves the teams of {@code contracts}; a listener accepts no other. Without {@code failoverSettings} (null),
     * failovers are left to the router alone.
     */
    public Broker(
            RoutingSettings settings, long seed, Map<String, Contract> contracts, FailoverSettings failoverSettings) {
        AdmissionController admission = new AdmissionController(settings.requestClasses(), contracts);
        Router router = new Router(settings, seed);
        failover = new FailoverGate(
                failoverSettings == null ? null : new FailoverCoordinator(failoverSettings, settings, seed));
        lifecycle = new RequestLifecycle(reduction, settings.requestClasses(), admission, requests, failover, counters);
        attempts = new AttemptController(reduction, settings, requests, lifecycle, failover, counters);
        RoutingActions routerActions =
                new RouterActionHandler(reduction, requests, lifecycle, attempts, failover, counters);
        routing = new RoutingDriver(reduction, router, routerActions);
        deadlines = new DeadlineHandler(reduction, requests, lifecycle, attempts, routing, failover);
        failoverActions = new FailoverActionHandler(reduction, requests, lifecycle, attempts);
    }

    /** Takes one event at the caller's time; the effects are to be carried out in order. */
    public List<Effect> reduce(BrokerEvent event, long time) {
        reduction.begin(time);
        long groupId = affectedGroup(event);
        handle(event);
        routing.run();
        failover.decide(event, groupId, time, failoverActions);
        routing.run();
        return reduction.effects();
    }

    /** The one group whose failover an event may advance, or NONE. */
    private long affectedGroup(BrokerEvent event) {
        if (event instanceof BrokerEvent.RequestReceived e) {
            return e.request().groupId();
        } else if (event instanceof BrokerEvent.AttemptEnded e) {
            ActiveRequest request = requests.find(e.requestId());
            return request == null ? AbsentValue.NONE : request.request().groupId();
        } else if (event instanceof BrokerEvent.HealthCheckEnded e) {
            return failover.groupIdOf(e.endpointId());
        }
        return AbsentValue.NONE;
    }

    private void handle(BrokerEvent event) {
        if (event instanceof BrokerEvent.RequestReceived e) {
            lifecycle.receive(e.request());
        } else if (event instanceof BrokerEvent.AttemptEnded e) {
            attempts.onEnded(e);
        } else if (event instanceof BrokerEvent.AttemptWritten e) {
            attempts.onWritten(e);
        } else if (event instanceof BrokerEvent.RequestAbandoned e) {
            lifecycle.abandon(e);
        } else if (event instanceof BrokerEvent.DeadlineReached e) {
            deadlines.onDeadline(e.requestId());
        } else if (event instanceof BrokerEvent.RoutingTimerFired e) {
            reduction.addRoutingEvent(new TimerFired(e.timerId()));
        } else if (event instanceof BrokerEvent.HealthCheckEnded e) {
            onHealthCheckEnded(e);
        } else if (event instanceof BrokerEvent.EndpointsUpdated e) {
            onEndpointsUpdated(e);
        }
    }

    private void onHealthCheckEnded(BrokerEvent.HealthCheckEnded e) {
        long now = reduction.now();
        LoadReport report = failover.onHealthCheckEnded(
                e.endpointId(), e.result(), e.duration(), PositionCheck.plausible(e.report(), now), now);
        reduction.addRoutingEvent(new HealthCheckResult(e.endpointId(), e.result(), e.duration(), report));
    }

    private void onEndpointsUpdated(BrokerEvent.EndpointsUpdated e) {
        reduction.addRoutingEvent(new EndpointUpdate(e.kind(), failover.onEndpointsUpdated(e, reduction.now())));
        attempts.cancelQueuedAtLeavingEndpoints(e);
    }

    /** What is known of failovers; null where they are left to the router alone. */
    public FailoverCoordinator failoverCoordinator() {
        return failover.coordinator();
    }

    /** Requests that are still owed an answer. */
    public long outstandingRequests() {
        return requests.countOutstanding();
    }

    /** What has been counted so far. */
    public BrokerCounters counters() {
        return counters;
    }
}
