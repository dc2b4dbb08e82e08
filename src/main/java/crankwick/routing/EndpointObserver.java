package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingSettings;
import java.util.EnumSet;
import java.util.Set;
import java.util.SplittableRandom;

/** Updates the state of an endpoint from its list entry, attempt outcomes and health checks. */
final class EndpointObserver {
    /** Results that prove that the endpoint process is running. */
    private static final Set<AttemptResult> RESPONSE_RESULTS = EnumSet.of(
            AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED_OVERLOADED, AttemptResult.INELIGIBLE_REPLICA);
    /** Results whose duration is the response time, or a lower bound of it. */
    private static final Set<AttemptResult> RESULTS_WITH_DURATION =
            EnumSet.of(AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.CANCELLED);

    private static final Set<AttemptResult> FAILURE_RESULTS = EnumSet.of(
            AttemptResult.ERROR,
            AttemptResult.RESET,
            AttemptResult.REJECTED_OVERLOADED,
            AttemptResult.UNREACHABLE,
            AttemptResult.CONNECTION_LOST_BEFORE_SEND);

    /**
     * A successful response that takes more than this fraction of the latency objective lowers the endpoint's
     * concurrency limit.
     */
    private static final double SLOW_RESPONSE_FRACTION = 0.45;
    /** Each load report of a replica lowers the replica's concurrency limit if its lag exceeds this. */
    private static final long HIGH_LAG_MICROS = 600 * MICROS_PER_MILLI;
    /** The assumed age of the role in the response to an attempt. */
    private static final long RESPONSE_ROLE_AGE_MICROS = 5 * MICROS_PER_MILLI;
    /** The role in the endpoint list is a hint: any role that the endpoint itself reports counts as newer. */
    private static final long LISTED_ROLE_AS_OF = Long.MIN_VALUE + 1;

    private final RoutingSettings settings;
    private final LatencyEstimates latency;
    private final FleetActivity activity;
    private final ReplicaFreshness freshness;
    private final SplittableRandom random;

    EndpointObserver(
            RoutingSettings settings,
            LatencyEstimates latency,
            FleetActivity activity,
            ReplicaFreshness freshness,
            SplittableRandom random) {
        this.settings = settings;
        this.latency = latency;
        this.activity = activity;
        this.freshness = freshness;
        this.random = random;
    }

    /**
     * Records the start time in an entry of the endpoint list, and the role if it is PRIMARY and the endpoint's role is
     * still unknown.
     */
    void recordListEntry(EndpointState endpoint, Endpoint entry, long now, RoutingActions actions) {
        if (entry.startedAt() > endpoint.slowStart().startedAt()) {
            recordRestart(endpoint, entry.startedAt(), "restarted", now, actions);
        }
        if (settings.roleVisibility() != RoleVisibility.HIDDEN
                && entry.role() == Role.PRIMARY
                && endpoint.role() == Role.UNKNOWN) {
            recordRole(endpoint, Role.PRIMARY, LISTED_ROLE_AS_OF, actions);
        }
    }

    /** Records the result of a health check. */
    void recordHealthCheck(EndpointState endpoint, HealthCheckResult check, long now, RoutingActions actions) {
        endpoint.health().endHealthCheck();
        switch (check.result()) {
            case OK, REJECTED_OVERLOADED -> recordResponse(endpoint, now, actions);
            case UNREACHABLE -> recordUnreachable(endpoint, check.duration(), now, actions);
            case STALE_CONNECTION, CONNECTION_LOST_BEFORE_SEND -> endpoint.health()
                    .allowImmediateHealthCheck(now);
            default -> endpoint.outlier().recordFault(now);
        }
        recordReport(endpoint, check.report(), now, actions);
    }

    /** Records the outcome of an attempt that is no longer in flight. */
    void recordOutcome(
            EndpointState endpoint, PendingRequest request, AttemptOutcome outcome, long now, RoutingActions actions) {
        AttemptResult result = outcome.result();
        boolean isCommit = request.isWrite() && result == AttemptResult.OK;
        if (carriesEndpointPosition(outcome, isCommit)) {
            endpoint.position().advance(outcome.position(), now);
        }
        recordRole(endpoint, outcome.role(), now - RESPONSE_ROLE_AGE_MICROS, actions);
        recordReport(endpoint, outcome.report(), now, actions);
        if (isCommit) {
            freshness.recordCommit(request, outcome.position());
        }
        if (RESULTS_WITH_DURATION.contains(result)) {
            latency.recordAttempt(endpoint.role(), request, outcome.duration(), now);
        }
        if (result == AttemptResult.OK) {
            recordSuccess(endpoint, request, outcome.duration(), now, actions);
        } else if (FAILURE_RESULTS.contains(result)) {
            logIfEjected(endpoint, endpoint.outlier().recordFailure(now, random), actions);
        }
        recordResultDetails(endpoint, outcome, now, actions);
        if (RESPONSE_RESULTS.contains(result)) {
            recordResponse(endpoint, now, actions);
        }
    }

    /**
     * Whether the position in the outcome is known to be reached by the endpoint. In the response to a write it is the
     * position of the commit, which a replica may not have applied. A position reported without a role is not used.
     */
    private static boolean carriesEndpointPosition(AttemptOutcome outcome, boolean isCommit) {
        return outcome.position() != AbsentValue.NONE
                && (outcome.role() == Role.PRIMARY || outcome.role() == Role.REPLICA && !isCommit);
    }

    private void recordSuccess(
            EndpointState endpoint, PendingRequest request, long duration, long now, RoutingActions actions) {
        latency.recordSuccess(endpoint, request, duration, now);
        if (duration > SLOW_RESPONSE_FRACTION * request.requestClass().latencyObjective()) {
            endpoint.concurrency().decrease();
        } else {
            endpoint.concurrency().increase();
        }
        if (endpoint.outlier().recordSuccess(request.attemptSentAt())) {
            actions.log(endpoint.id() + " readmitted: attempt succeeded");
        }
    }

    private void recordResultDetails(EndpointState endpoint, AttemptOutcome outcome, long now, RoutingActions actions) {
        switch (outcome.result()) {
            case INELIGIBLE_REPLICA -> endpoint.position().recordIneligible(now);
            case REJECTED_OVERLOADED, TIMEOUT -> endpoint.concurrency().decrease();
            case UNREACHABLE -> recordUnreachable(endpoint, outcome.duration(), now, actions);
            default -> {
                // The other results need no handling beyond that in recordOutcome.
            }
        }
    }

    private void recordReport(EndpointState endpoint, LoadReport report, long now, RoutingActions actions) {
        if (report == null) {
            return;
        }
        endpoint.load().update(report, now);
        activity.recordReport(report);
        if (endpoint.slowStart().isWarm(now)) {
            activity.recordUtilization(endpoint.load().utilization());
        }
        if (report.position() != AbsentValue.NONE) {
            endpoint.position().advance(report.position(), now);
            recordRole(endpoint, report.role(), report.position(), actions);
            if (endpoint.role() == Role.REPLICA && endpoint.position().lagAt(now) > HIGH_LAG_MICROS) {
                endpoint.concurrency().decrease();
            }
        }
    }

    private static void recordRole(EndpointState endpoint, Role role, long asOf, RoutingActions actions) {
        EndpointGroup group = endpoint.group();
        if (group.recordRole(endpoint, role, asOf)) {
            EndpointState primary = group.primary();
            actions.log("group " + group.id() + " primary changed: " + (primary == null ? "unknown" : primary.id()));
        }
    }

    /**
     * Records a response. An endpoint that responds after refusing connections is assumed to have restarted, which the
     * endpoint list may not show yet. Drawback: an endpoint that refused connections only because of a connection limit
     * also goes through a slow start.
     */
    private void recordResponse(EndpointState endpoint, long now, RoutingActions actions) {
        if (endpoint.health().recordResponse(now)) {
            recordRestart(endpoint, now, "responds after refusing connections", now, actions);
        }
    }

    private void recordRestart(EndpointState endpoint, long start, String event, long now, RoutingActions actions) {
        if (endpoint.slowStart().isActiveFor(start, now)) {
            actions.log(endpoint.id() + " " + event + ", starting slow start");
        }
        endpoint.latency().reset();
        endpoint.outlier().reset();
        endpoint.slowStart().restart(start, random.nextDouble(), now);
    }

    private void recordUnreachable(EndpointState endpoint, long duration, long now, RoutingActions actions) {
        endpoint.health().recordUnreachable(duration, now);
        if (!settings.limits().healthChecksAllowed()) {
            logIfEjected(endpoint, endpoint.outlier().recordConnectionFailure(now, random), actions);
        }
    }

    private static void logIfEjected(EndpointState endpoint, boolean ejected, RoutingActions actions) {
        if (ejected) {
            actions.log(endpoint.id()
                    + " ejected: failure rate above the ejection threshold, only trial attempts until one succeeds");
        }
    }
}
