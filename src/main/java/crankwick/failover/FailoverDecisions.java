package crankwick.failover;

import crankwick.routing.api.RoutingSettings;

/** What follows for one group after an event: a new leader, hopeless requests, and requests to be released. */
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

    /** Decides for one group; each action is carried out before the next decision. */
    void decide(GroupState group, long now, FailoverActions actions) {
        boolean leaderless = group.isLeaderless();
        if (group.leadership().term() != group.handledTerm()) {
            beginTerm(group, now, actions);
        }
        if (leaderless) {
            answerUnlikely(group, now, actions);
        }
        releaseBuffered(group, leaderless, now, actions);
    }

    /** A new leader: how long the failover took is learned, and attempts at the old leader are cancelled. */
    private void beginTerm(GroupState group, long now, FailoverActions actions) {
        Leadership leadership = group.leadership();
        boolean first = group.handledTerm() == 0;
        boolean planned = !first && leadership.isFailoverPlanned();
        group.setHandledTerm(leadership.term());
        group.releaseWindow().reset(settings.initialWindow());
        if (!first) {
            long duration = now - leadership.leaderlessSince();
            group.durations().add(duration);
            counters.failovers++;
            actions.log(describe(group, duration, planned));
        }
        for (TrackedRequest request : group.released()) {
            if (request.isAttemptInFlight() && !request.attemptEndpoint().equals(leadership.leader()) && !planned) {
                counters.attemptsCancelled++;
                actions.cancelAttempt(request.requestId());
            }
        }
    }

    private static String describe(GroupState group, long duration, boolean planned) {
        Leadership leadership = group.leadership();
        return "group " + group.id() + " term " + leadership.term() + " led by " + leadership.leader() + " after "
                + duration / MICROS_PER_MILLI + " ms" + (planned ? ", planned" : "") + ", "
                + group.buffer().size() + " buffered";
    }

    /** While the group has no leader, requests that are unlikely to be served in time are answered at once. */
    private void answerUnlikely(GroupState group, long now, FailoverActions actions) {
        for (RequestBuffer.BufferedRequest entry : group.buffer().all()) {
            TrackedRequest request = requests.find(entry.requestId());
            if (!requests.isRecoveryLikely(request, now)) {
                counters.recoveryUnlikely++;
                deny(request, now, actions);
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

    private void deny(TrackedRequest request, long now, FailoverActions actions) {
        if (request.hasUnknownOutcome()) {
            actions.failWithUnknownOutcome(request.requestId());
        } else {
            long retryAfter = retryAfter(request.group(), request.arrival().classIndex(), now);
            actions.reject(request.requestId(), retryAfter);
        }
    }

    /** When a request of a leaderless group should be retried, in microseconds; 0 where the site allows no hint. */
    long retryAfter(GroupState group, int classIndex, long now) {
        if (group == null || !routing.limits().retryAfterSupported()) {
            return 0;
        }
        long remaining = group.durations().remaining(now - group.leadership().leaderlessSince());
        long delay = remaining - routing.requestClasses().get(classIndex).latencyObjective() / 2;
        return Math.min(routing.limits().maxRetryAfter(), Math.max(MIN_RETRY_AFTER_MICROS, delay));
    }

    /** To a leaderless group one request at a time; to a leader as many as the release window allows. */
    private void releaseBuffered(GroupState group, boolean leaderless, long now, FailoverActions actions) {
        while (group.buffer().size() > 0 && mayRelease(group, leaderless)) {
            TrackedRequest request = requests.find(group.buffer().first().requestId());
            if (now >= request.usefulUntil() || keys.isExpired(request, now)) {
                deny(request, now, actions);
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
