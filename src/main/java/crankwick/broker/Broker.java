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
 * The reducer of request state: turns an event and the current time into effects, on a single thread. This class only
 * orders the steps: it handles the event, then runs the router, then the failover coordinator, then the router again.
 */
public final class Broker {
    private final ReductionContext context = new ReductionContext();
    private final BrokerCounters counters = new BrokerCounters();
    private final ActiveRequests requests = new ActiveRequests();
    private final FailoverDelegate failover;
    private final RequestLifecycle lifecycle;
    private final AttemptController attempts;
    private final RoutingDriver routing;
    private final DeadlineHandler deadlines;
    private final FailoverActions failoverActions;

    /**
     * Creates a broker for the teams of {@code contracts}; listeners accept no other teams. If
     * {@code failoverSettings} is null, there is no failover coordinator and only the router handles failovers.
     */
    public Broker(
            RoutingSettings settings, long seed, Map<String, Contract> contracts, FailoverSettings failoverSettings) {
        AdmissionController admission = new AdmissionController(settings.requestClasses(), contracts);
        Router router = new Router(settings, seed);
        failover = new FailoverDelegate(
                failoverSettings == null ? null : new FailoverCoordinator(failoverSettings, settings, seed));
        lifecycle = new RequestLifecycle(context, settings.requestClasses(), admission, requests, failover, counters);
        attempts = new AttemptController(context, settings, requests, lifecycle, failover, counters);
        RoutingActions routerActions =
                new RouterActionHandler(context, requests, lifecycle, attempts, failover, counters);
        routing = new RoutingDriver(context, router, routerActions);
        deadlines = new DeadlineHandler(context, requests, lifecycle, attempts, routing, failover);
        failoverActions = new FailoverActionHandler(context, requests, lifecycle, attempts);
    }

    /** Reduces one event at the caller's {@code time}; the caller carries out the returned effects in order. */
    public List<Effect> reduce(BrokerEvent event, long time) {
        context.begin(time);
        long groupId = affectedGroupId(event);
        handle(event);
        routing.processPendingEvents();
        failover.decide(event, groupId, time, failoverActions);
        routing.processPendingEvents();
        return context.effects();
    }

    /**
     * The ID of the only group whose failover the event may affect; NONE if there is no such group or there may be
     * several.
     */
    private long affectedGroupId(BrokerEvent event) {
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
        } else if (event instanceof BrokerEvent.KeyWindowEnded e) {
            attempts.onKeyWindowEnded(e);
        } else if (event instanceof BrokerEvent.RequestAbandoned e) {
            lifecycle.abandon(e);
        } else if (event instanceof BrokerEvent.DeadlineReached e) {
            deadlines.onDeadline(e.requestId());
        } else if (event instanceof BrokerEvent.RoutingTimerFired e) {
            context.addRoutingEvent(new TimerFired(e.timerId()));
        } else if (event instanceof BrokerEvent.HealthCheckEnded e) {
            onHealthCheckEnded(e);
        } else if (event instanceof BrokerEvent.EndpointsUpdated e) {
            onEndpointsUpdated(e);
        }
    }

    private void onHealthCheckEnded(BrokerEvent.HealthCheckEnded e) {
        long now = context.now();
        LoadReport report = failover.onHealthCheckEnded(
                e.endpointId(), e.result(), e.duration(), LogPositionFilter.discardImplausible(e.report(), now), now);
        context.addRoutingEvent(new HealthCheckResult(e.endpointId(), e.result(), e.duration(), report));
    }

    private void onEndpointsUpdated(BrokerEvent.EndpointsUpdated e) {
        context.addRoutingEvent(new EndpointUpdate(e.kind(), failover.onEndpointsUpdated(e, context.now())));
        attempts.cancelQueuedAttemptsAtUnusableEndpoints(e);
    }

    /** The failover coordinator; null if only the router handles failovers. */
    public FailoverCoordinator failoverCoordinator() {
        return failover.coordinator();
    }

    /** The number of requests that have been neither replied to nor abandoned. */
    public long outstandingRequests() {
        return requests.countOutstanding();
    }

    /** The counters since the start of the broker. */
    public BrokerCounters counters() {
        return counters;
    }
}
