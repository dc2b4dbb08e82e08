package crankwick.failover;

import crankwick.routing.api.RoutingSettings;

/** Makes the decisions for one group after an event: handles a new term, and rejects, fails or releases requests. */
final class FailoverDecisions {
    private static final long MIN_RETRY_AFTER_MICROS = 50_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final FailoverSettings settings;
    private final RoutingSettings routing;
    private final RequestTracker requests;
    private final KeyWindows keys;
    private final FailoverCounters counters;

    FailoverDecisions(
            FailoverSettings settings,
            RoutingSettings routing,
            RequestTracker requests,
            KeyWindows keys,
            FailoverCounters counters) {
        this.settings = settings;
        this.routing = routing;
        this.requests = requests;
        this.keys = keys;
        this.counters = counters;
    }

    /** Makes the decisions for one group; each action is executed before the next decision. */
    void decide(GroupState group, long now, FailoverActions actions) {
        boolean leaderless = group.isLeaderless();
        if (group.leadership().term() != group.handledTerm()) {
            beginTerm(group, now, actions);
        }
        if (leaderless) {
            rejectUnlikelyRequests(group, now, actions);
        }
        releaseBuffered(group, leaderless, now, actions);
    }

    /**
     * Handles a new leader. Resets the release window, records the duration of the failover unless this is the
     * group's first leader, and cancels the attempts in flight at other endpoints unless the failover was planned.
     */
    private void beginTerm(GroupState group, long now, FailoverActions actions) {
        Leadership leadership = group.leadership();
        boolean firstTerm = group.handledTerm() == 0;
        boolean planned = !firstTerm && leadership.isFailoverPlanned();
        group.setHandledTerm(leadership.term());
        group.releaseWindow().reset(settings.initialWindow());
        if (!firstTerm) {
            long duration = now - leadership.leaderlessSince();
            group.durations().add(duration);
            counters.failovers++;
            actions.log(describeFailover(group, duration, planned));
        }
        for (TrackedRequest request : group.released()) {
            if (request.isAttemptInFlight() && !request.attemptEndpoint().equals(leadership.leader()) && !planned) {
                counters.attemptsCancelled++;
                actions.cancelAttempt(request.requestId());
            }
        }
    }

    private static String describeFailover(GroupState group, long duration, boolean planned) {
        Leadership leadership = group.leadership();
        return "group " + group.id() + " term " + leadership.term() + ": new leader " + leadership.leader() + " after "
                + duration / MICROS_PER_MILLI + " ms without a leader" + (planned ? ", planned failover" : "") + ", "
                + group.buffer().size() + " requests buffered";
    }

    /**
     * Rejects or fails the buffered requests of a leaderless group that are unlikely to be served in time. Also fails
     * the released requests that are equally unlikely to be served, may have executed and have no attempt in flight;
     * the router handles the other released requests.
     */
    private void rejectUnlikelyRequests(GroupState group, long now, FailoverActions actions) {
        for (RequestBuffer.BufferedRequest entry : group.buffer().all()) {
            TrackedRequest request = requests.find(entry.requestId());
            if (!requests.isRecoveryLikely(request, now)) {
                counters.recoveryUnlikely++;
                rejectOrFail(request, now, actions);
            }
        }
        for (TrackedRequest request : group.released()) {
            if (!request.isAnswered()
                    && !request.isAttemptInFlight()
                    && request.mayHaveExecuted()
                    && !requests.isRecoveryLikely(request, now)) {
                counters.keyWindowsExpired++;
                actions.failWithUnknownOutcome(request.requestId());
            }
        }
    }

    private void rejectOrFail(TrackedRequest request, long now, FailoverActions actions) {
        if (request.hasUnknownOutcome()) {
            actions.failWithUnknownOutcome(request.requestId());
        } else {
            long retryAfter =
                    retryAfter(request.group(), request.incomingRequest().classIndex(), now);
            actions.reject(request.requestId(), retryAfter);
        }
    }

    /**
     * Returns the retry-after in microseconds for a request of a leaderless group; 0 if the group is unknown or the
     * settings do not support retry-after.
     */
    long retryAfter(GroupState group, int classIndex, long now) {
        if (group == null || !routing.limits().retryAfterSupported()) {
            return 0;
        }
        long remaining =
                group.durations().medianRemaining(now - group.leadership().leaderlessSince());
        long delay = remaining - routing.requestClasses().get(classIndex).latencyObjective() / 2;
        return Math.min(routing.limits().maxRetryAfter(), Math.max(MIN_RETRY_AFTER_MICROS, delay));
    }

    /**
     * Releases buffered requests. While the group is leaderless, a request is released only if no released request is
     * open; otherwise the release window limits the number of open released requests. A request whose release deadline
     * or key window has ended is rejected or failed instead.
     */
    private void releaseBuffered(GroupState group, boolean leaderless, long now, FailoverActions actions) {
        while (group.buffer().size() > 0 && mayRelease(group, leaderless)) {
            TrackedRequest request = requests.find(group.buffer().first().requestId());
            if (now >= request.releaseDeadline() || keys.isExpired(request, now)) {
                rejectOrFail(request, now, actions);
                continue;
            }
            requests.releaseBuffered(request, !leaderless);
            actions.release(request.requestId());
        }
    }

    private static boolean mayRelease(GroupState group, boolean leaderless) {
        return leaderless ? !group.hasReleased() : group.releaseWindow().hasCapacity();
    }
}
