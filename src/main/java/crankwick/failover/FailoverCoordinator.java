package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingSettings;
import java.util.List;

/**
 * Handles failovers of primaries for one proxy: tracks the leader of each group, buffers requests while a group has no
 * leader and until they can be released to the new one, and records the idempotency keys of requests that may have
 * executed. It performs no I/O and reads no clock; the broker reports events and executes the decisions through
 * {@link FailoverActions}.
 *
 * <p>A request is queued either here or in the router, never in both: a buffered request is queued here from
 * {@link #admit} to {@link FailoverActions#release} and in the router afterwards, any other request only in the router.
 * While a group is leaderless, one request at a time is released so that the router searches for the new primary; the
 * router selects the endpoint and decides on retries.
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

    /** Creates a coordinator without groups; {@code seed} is the seed of the key hash. */
    public FailoverCoordinator(FailoverSettings settings, RoutingSettings routing, long seed) {
        groups = new GroupRegistry(settings);
        evidence = new EvidenceFilter(groups, routing.limits().connectTimeout());
        keys = new KeyWindows(settings, seed);
        requests = new RequestTracker(settings, routing, groups, keys, counters);
        decisions = new FailoverDecisions(settings, routing, requests, keys, counters);
    }

    /** Takes an endpoint list update and returns its endpoints, with outdated PRIMARY roles replaced by UNKNOWN. */
    public List<Endpoint> onEndpointsUpdated(EndpointUpdateKind kind, List<Endpoint> endpoints, long now) {
        return evidence.filterEndpoints(kind, endpoints, now);
    }

    /** Takes the observation of an attempt and returns the reported role, or UNKNOWN if that role is outdated. */
    public Role onAttemptObserved(AttemptObservation attempt, long now) {
        return evidence.filterRole(attempt, now);
    }

    /** Takes the result of a health check and returns its load report, with an outdated role replaced by UNKNOWN. */
    public LoadReport onHealthCheckEnded(
            String endpointId, AttemptResult result, long duration, LoadReport report, long now) {
        return evidence.filterHealthCheck(endpointId, result, duration, report, now);
    }

    /** Takes a load report and returns it, with an outdated role replaced by UNKNOWN. */
    public LoadReport onLoadReport(String endpointId, LoadReport report, long now) {
        return evidence.filterReport(endpointId, report, now);
    }

    /**
     * Decides whether a received request is routed, buffered, rejected or failed; the caller must answer a request that
     * is rejected or failed.
     */
    public FailoverAdmission admit(IncomingRequest request, long now) {
        return requests.admit(request, now);
    }

    /**
     * Returns the retry-after in microseconds for a request that is rejected because its group has no leader; 0 if the
     * group is unknown or the settings do not support retry-after.
     */
    public long retryAfter(long groupId, int classIndex, long now) {
        return decisions.retryAfter(groups.group(groupId), classIndex, now);
    }

    /**
     * Returns true if a request with the same key may have executed and a repeat may execute again; false if the
     * request is not tracked.
     */
    public boolean hasUnknownOutcome(long requestId) {
        TrackedRequest request = requests.find(requestId);
        return request != null && request.hasUnknownOutcome();
    }

    /**
     * Decides whether an attempt may be sent; a granted attempt counts as sent at {@code now}. Attempts of requests
     * that are not tracked are always granted.
     */
    public AttemptPermit permitAttempt(long requestId, String endpointId, long now) {
        return requests.permitAttempt(requestId, endpointId, now);
    }

    /**
     * When databases stop discarding repeats of the request's key, by the attempts of all requests with this key;
     * {@code Long.MAX_VALUE} if the request is not tracked or none of them may have executed.
     */
    public long keyWindowEnd(long requestId) {
        return requests.keyWindowEnd(requestId);
    }

    /** Handles the end of an attempt. */
    public void onAttemptEnded(long requestId, AttemptResult result, long duration, long now) {
        requests.onAttemptEnded(requestId, result, duration, now);
    }

    /** Handles the completion of a request: its final reply was sent, or its client has abandoned it. */
    public void onRequestCompleted(long requestId) {
        requests.onRequestCompleted(requestId);
    }

    /**
     * Handles a new term of one group and rejects, fails or releases its requests, after an event that affects the
     * group.
     */
    public void decide(long groupId, long now, FailoverActions actions) {
        GroupState group = groups.group(groupId);
        if (group != null) {
            decide(group, now, actions);
        }
    }

    /**
     * Handles new terms of all groups and rejects, fails or releases their requests, after an event that affects
     * several groups.
     */
    public void decideAll(long now, FailoverActions actions) {
        for (GroupState group : groups.all()) {
            decide(group, now, actions);
        }
    }

    /**
     * Handles the timer scheduled through {@link FailoverActions#scheduleTimer}; makes the decisions for all groups.
     */
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

    /** Returns the number of an endpoint's group, or NONE if the endpoint is unknown. */
    public long groupIdOf(String endpointId) {
        return groups.groupIdOf(endpointId);
    }

    /** Returns a group's leadership, or null if the group is unknown. */
    public Leadership leadership(long groupId) {
        GroupState group = groups.group(groupId);
        return group == null ? null : group.leadership();
    }

    /** Returns the number of buffered requests over all groups. */
    public int bufferedRequests() {
        return requests.buffered();
    }

    /** Returns the number of idempotency keys in the registry. */
    public int trackedKeys() {
        return keys.size();
    }

    /** Returns the counters, which start at zero when the coordinator is created. */
    public FailoverCounters counters() {
        return counters;
    }
}
