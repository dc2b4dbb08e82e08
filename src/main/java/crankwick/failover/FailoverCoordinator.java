package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.List;

/**
 * Failovers of primaries, for one proxy: who leads each group, which requests wait outside the router until
 * somebody does, and which keys may have executed. It has no input, output or clock; the broker reports what
 * happens and carries out the decisions through {@link FailoverActions}.
 *
 * <p>A request waits either here or in the router, never in both: here from {@link #admit} to
 * {@link FailoverActions#release}, there afterwards. While a group is leaderless one request at a time is released,
 * so that the router looks for the new primary; it decides which endpoint to ask and whether to retry.
 */
public final class FailoverCoordinator {
    private static final long DECISION_INTERVAL_MICROS = 50_000;

    private final FailoverCounters counters = new FailoverCounters();
    private final GroupRegistry groups;
    private final EvidenceFilter evidence;
    private final KeyWindows keys;
    private final RequestTracker requests;
    private final FailoverDecisions decisions;
    private boolean timerScheduled;

    /** Buffers and remembers as {@code settings} say; {@code seed} varies the hashes of keys. */
    public FailoverCoordinator(FailoverSettings settings, RoutingSettings routing, long seed) {
        groups = new GroupRegistry(settings);
        evidence = new EvidenceFilter(groups, routing.limits().connectTimeout());
        keys = new KeyWindows(settings, seed);
        requests = new RequestTracker(settings, routing, groups, keys, counters);
        decisions = new FailoverDecisions(settings, routing, requests, keys, counters);
    }

    /** Takes news of the endpoint list and returns it without outdated claims to be primary. */
    public List<Endpoint> onEndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints, long now) {
        return evidence.filterEndpoints(kind, endpoints, now);
    }

    /** Takes what an attempt's end shows and returns the role that it reported, UNKNOWN where that is outdated. */
    public Role onAttemptObserved(AttemptObservation attempt, long now) {
        return evidence.filterRole(attempt, now);
    }

    /** Takes a health check's end and returns its report, with its role UNKNOWN where that is outdated. */
    public LoadReport onHealthCheckEnded(
            String endpointId, AttemptResult result, long duration, LoadReport report, long now) {
        return evidence.filterHealthCheck(endpointId, result, duration, report, now);
    }

    /** Takes a load report and returns it, with its role UNKNOWN where that is outdated. */
    public LoadReport onLoadReport(String endpointId, LoadReport report, long now) {
        return evidence.filterReport(endpointId, report, now);
    }

    /** Decides on a request that has been received; if it is not admitted, the caller answers it. */
    public FailoverAdmission admit(IncomingRequest request, long now) {
        return requests.admit(request, now);
    }

    /** When a request that is rejected for want of a leader should be retried, in microseconds. */
    public long retryAfter(long groupId, int classIndex, long now) {
        return decisions.retryAfter(groups.group(groupId), classIndex, now);
    }

    /** True if a request's key may have executed, by whatever request, so that a repeat may do harm. */
    public boolean hasUnknownOutcome(long requestId) {
        TrackedRequest request = requests.find(requestId);
        return request != null && request.hasUnknownOutcome();
    }

    /** Decides whether an attempt may be sent; if it is granted, it counts as sent now. */
    public AttemptPermit permitAttempt(long requestId, String endpointId, long now) {
        return requests.permitAttempt(requestId, endpointId, now);
    }

    /** An attempt has ended. */
    public void onAttemptEnded(long requestId, AttemptResult result, long duration, long now) {
        requests.onAttemptEnded(requestId, result, duration, now);
    }

    /** A request has its final answer, or its caller has left. */
    public void onRequestCompleted(long requestId) {
        requests.onRequestCompleted(requestId);
    }

    /** Decides for one group, after an event that concerns it. */
    public void decide(long groupId, long now, FailoverActions actions) {
        GroupState group = groups.group(groupId);
        if (group != null) {
            decide(group, now, actions);
        }
    }

    /** Decides for all groups, after news of many. */
    public void decideAll(long now, FailoverActions actions) {
        for (GroupState group : groups.all()) {
            decide(group, now, actions);
        }
    }

    /** The timer that was scheduled has fired. */
    public void onTimer(long now, FailoverActions actions) {
        timerScheduled = false;
        decideAll(now, actions);
    }

    private void decide(GroupState group, long now, FailoverActions actions) {
        boolean leaderless = group.isLeaderless();
        decisions.decide(group, now, actions);
        if (!timerScheduled && (leaderless || group.buffer().size() > 0) && group.hasRequests()) {
            timerScheduled = true;
            actions.scheduleTimer(DECISION_INTERVAL_MICROS);
        }
    }

    /** The number of an endpoint's group, or NONE. */
    public long groupIdOf(String endpointId) {
        return groups.groupIdOf(endpointId);
    }

    /** A group's leadership; null for a group that is not known. */
    public Leadership leadership(long groupId) {
        GroupState group = groups.group(groupId);
        return group == null ? null : group.leadership();
    }

    /** Requests buffered now, over all groups. */
    public int bufferedRequests() {
        return requests.buffered();
    }

    /** Keys remembered now. */
    public int trackedKeys() {
        return keys.size();
    }

    /** What has been counted so far. */
    public FailoverCounters counters() {
        return counters;
    }
}
