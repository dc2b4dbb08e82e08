package crankwick.routing;

import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.RequestAbandoned;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.ResponseStarted;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingEvent;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.TimerFired;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides, for one proxy, which endpoint of a group serves each request.
 *
 * <p>A session read is normally served by a replica that is known to have reached the log position of its session's
 * last write. If no such replica is eligible, the read is sent to a replica that may have reached the position and
 * checks it itself or, as a fallback, to the primary. Otherwise it is queued while health checks look for a replica,
 * and is rejected with a Retry-After when it can no longer be answered in time. Writes and strong reads go to the
 * primary. This class only sequences the handling of each event; its components make the decisions. See docs/design.md.
 */
public final class Router {
    private final List<RequestClass> requestClasses;
    private final EndpointRegistry registry;
    private final EndpointObserver observer;
    private final FleetActivity activity;
    private final ResponseRecency recency;
    private final HealthCheckBudget healthCheckBudget;
    private final RetryPolicy retryPolicy;
    private final ReplicaFreshness freshness;
    private final ClientRetryDetector retryDetector;
    private final DiscoveryWatch discoveryWatch;
    private final OpenRequests openRequests;
    private final RequestDispatcher dispatcher;

    /** Creates a router. It is deterministic: the same settings, seed and events give the same actions. */
    public Router(RoutingSettings settings, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        requestClasses = settings.requestClasses();
        registry = new EndpointRegistry(settings);
        activity = new FleetActivity();
        healthCheckBudget = new HealthCheckBudget(settings.costs().healthCheck());
        recency = new ResponseRecency(settings.limits(), healthCheckBudget);
        retryPolicy = new RetryPolicy(settings.limits());
        freshness = new ReplicaFreshness(settings);
        retryDetector = new ClientRetryDetector(requestClasses.size());
        discoveryWatch = new DiscoveryWatch(settings.pollsDiscovery(), random);
        openRequests = new OpenRequests(settings.limits(), retryPolicy, random);
        LatencyEstimates latency = new LatencyEstimates(requestClasses);
        observer = new EndpointObserver(settings, latency, activity, freshness, random);
        dispatcher = createDispatcher(settings, latency, random);
    }

    private RequestDispatcher createDispatcher(
            RoutingSettings settings, LatencyEstimates latency, SplittableRandom random) {
        ClassPriorities priorities = new ClassPriorities(requestClasses);
        LoadShedder loadShedder = new LoadShedder(settings, latency, priorities.maxPriorityWeight());
        WeightedSelection selection = new WeightedSelection(settings, latency, random);
        PrimaryReadFallback fallback = new PrimaryReadFallback(freshness, recency, activity, latency, loadShedder);
        SlowStartBudget slowStartBudget = new SlowStartBudget(settings, registry, activity);
        EndpointEligibility eligibility =
                new EndpointEligibility(recency, retryPolicy, slowStartBudget, latency, loadShedder);
        HealthChecker checker = new HealthChecker(settings.limits(), healthCheckBudget);
        return new RequestDispatcher(
                priorities.servingOrder(),
                new EndpointSelector(settings.staleReadPolicy(), eligibility, freshness, selection, fallback),
                loadShedder,
                new AttemptTracker(checker, latency, retryPolicy, activity, random, healthCheckBudget.costFactor()),
                openRequests,
                new HealthCheckScheduler(checker, activity, recency, freshness, loadShedder, selection, fallback));
    }

    /** Handles one event at time {@code now} and calls {@code actions} for each decision. */
    public void handle(long now, RoutingEvent event, RoutingActions actions) {
        recency.update(registry.endpoints().size(), activity, now);
        if (event instanceof RoutingRequest request) {
            onRequest(request, now, actions);
        } else if (event instanceof AttemptOutcome outcome) {
            onOutcome(outcome, now, actions);
        } else if (event instanceof HealthCheckResult check) {
            onHealthCheck(check, now, actions);
        } else if (event instanceof EndpointUpdate update) {
            onEndpointUpdate(update, now, actions);
        } else if (event instanceof TimerFired timer) {
            onTimer(timer.timerId(), now, actions);
        } else if (event instanceof RequestAbandoned abandoned) {
            openRequests.close(openRequests.find(abandoned.requestId()));
        } else {
            openRequests.close(openRequests.find(((ResponseStarted) event).requestId()));
        }
    }

    private void onRequest(RoutingRequest request, long now, RoutingActions actions) {
        RequestClass requestClass = requestClasses.get(request.classIndex());
        EndpointGroup group = registry.groupOrEmpty(request.groupId());
        long sessionToken = freshness.sessionToken(request, requestClass, group, now);
        long firstSentAt = retryDetector.firstSentAt(request, requestClass, now);
        retryPolicy.depositForRequest();
        healthCheckBudget.depositForRequest();
        openRequests.add(new PendingRequest(request, requestClass, group, sessionToken, firstSentAt));
        dispatcher.dispatch(group, now, actions);
    }

    private void onOutcome(AttemptOutcome outcome, long now, RoutingActions actions) {
        PendingRequest request = openRequests.find(outcome.requestId());
        if (request == null || !request.isCurrentAttempt(outcome)) {
            return;
        }
        EndpointState endpoint = request.endpoint();
        request.endAttempt();
        endpoint.concurrency().endAttempt();
        observer.recordOutcome(endpoint, request, outcome, now, actions);
        if (!outcome.result().provesNotExecuted() && outcome.result() != AttemptResult.OK) {
            request.recordPossibleExecution(endpoint);
        }
        if (outcome.requestAnswered() || request.isClosed()) {
            openRequests.close(request);
        } else {
            openRequests.retryOrFinish(request, endpoint, outcome.result(), now, actions);
        }
        dispatcher.dispatch(request.group(), now, actions);
    }

    private void onHealthCheck(HealthCheckResult check, long now, RoutingActions actions) {
        EndpointState endpoint = registry.endpoint(check.endpointId());
        if (endpoint != null) {
            observer.recordHealthCheck(endpoint, check, now, actions);
            dispatcher.dispatch(endpoint.group(), now, actions);
        }
    }

    private void onEndpointUpdate(EndpointUpdate update, long now, RoutingActions actions) {
        if (update.kind() == EndpointUpdateKind.UNAVAILABLE) {
            discoveryWatch.onUnavailable(actions);
            return;
        }
        discoveryWatch.onUpdate(update.kind(), actions);
        if (update.kind() != EndpointUpdateKind.INCREMENTAL) {
            registry.unlistAll(now);
        }
        for (Endpoint entry : update.endpoints()) {
            observer.recordListEntry(registry.register(entry, now), entry, now, actions);
        }
        registry.removeExpired(now);
        registry.groups().forEach(group -> dispatcher.dispatch(group, now, actions));
    }

    private void onTimer(long timerId, long now, RoutingActions actions) {
        if (timerId == DiscoveryWatch.TIMER_ID) {
            actions.watchEndpoints();
            return;
        }
        EndpointGroup group = registry.group(timerId - 1);
        if (group != null) {
            group.clearDueTimer(now);
            dispatcher.dispatch(group, now, actions);
        }
    }

    /** The identifier of a group's timer, the group's identifier plus 1; 0 is the timer of the discovery watch. */
    static long groupTimerId(EndpointGroup group) {
        return group.id() + 1;
    }

    /** The number of endpoints and groups in memory, including unlisted ones. */
    int retainedStateCount() {
        return registry.size();
    }
}
