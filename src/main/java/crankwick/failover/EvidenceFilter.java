package crankwick.failover;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.List;

/**
 * Converts attempt results, load reports and endpoint list updates to {@link LeadershipEvidence}, and replaces each
 * reported role that the group's {@link Leadership} rejects with UNKNOWN.
 */
final class EvidenceFilter {
    /** A connection that fails within this fraction of the connect timeout counts as refused, not as timed out. */
    private static final double REFUSED_TIMEOUT_FRACTION = 0.8;

    private final GroupRegistry groups;
    private final long connectTimeout;

    EvidenceFilter(GroupRegistry groups, long connectTimeout) {
        this.groups = groups;
        this.connectTimeout = connectTimeout;
    }

    /**
     * Takes an endpoint list update and returns its endpoints. In a group in which a claim to be primary has been
     * accepted, a PRIMARY role in the list counts as outdated and becomes UNKNOWN.
     */
    List<Endpoint> filterEndpoints(EndpointUpdateKind kind, List<Endpoint> endpoints, long now) {
        if (kind == EndpointUpdateKind.FULL) {
            groups.endpointsMissingFrom(endpoints).forEach((endpointId, group) -> {
                group.leadership().observe(new LeadershipEvidence.Delisted(endpointId), now);
                groups.removeEndpoint(endpointId, group);
            });
        }
        List<Endpoint> filtered = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            filtered.add(filterEndpoint(endpoint, now));
        }
        return filtered;
    }

    private Endpoint filterEndpoint(Endpoint endpoint, long now) {
        GroupState group = groups.groupOfListedEndpoint(endpoint);
        if (group == null) {
            return endpoint;
        }
        if (endpoint.status() == EndpointStatus.LIVE) {
            group.leadership().observe(new LeadershipEvidence.ListedAsUp(endpoint.id()), now);
        } else {
            group.leadership().observe(new LeadershipEvidence.Delisted(endpoint.id()), now);
            if (endpoint.status() == EndpointStatus.REMOVED) {
                groups.removeEndpoint(endpoint.id(), group);
            }
        }
        boolean outdated = endpoint.role() == Role.PRIMARY && group.leadership().leader() != null;
        return outdated ? withUnknownRole(endpoint) : endpoint;
    }

    private static Endpoint withUnknownRole(Endpoint e) {
        return new Endpoint(e.id(), e.zone(), e.groupId(), Role.UNKNOWN, e.status(), e.startedAt());
    }

    /**
     * Takes the result of an attempt as evidence and returns the role in its reply, or UNKNOWN if that role is
     * outdated. The role counts as of the time at which the attempt was sent, because the reply may have been delayed.
     */
    Role filterRole(AttemptObservation attempt, long now) {
        GroupState group = groups.groupOf(attempt.endpointId());
        if (group == null) {
            return attempt.role();
        }
        observeResult(group, attempt, now);
        if (attempt.role() == Role.UNKNOWN) {
            return Role.UNKNOWN;
        }
        LeadershipEvidence.RoleReported reported = new LeadershipEvidence.RoleReported(
                attempt.endpointId(), attempt.role(), attempt.position(), attempt.sentAt());
        if (!group.leadership().observe(reported, now)) {
            return Role.UNKNOWN;
        }
        if (attempt.write() && attempt.result() == AttemptResult.OK) {
            group.leadership().writeServed(reported, now);
        }
        return attempt.role();
    }

    private void observeResult(GroupState group, AttemptObservation attempt, long now) {
        String endpointId = attempt.endpointId();
        AttemptResult result = attempt.result();
        if (result == AttemptResult.INELIGIBLE_REPLICA && attempt.write()) {
            group.leadership().observe(new LeadershipEvidence.WriteRejected(endpointId, attempt.sentAt()), now);
        } else if (result == AttemptResult.UNREACHABLE) {
            observeUnreachable(group, endpointId, attempt.sentAt(), now);
        } else if (result == AttemptResult.RESET || result == AttemptResult.CONNECTION_LOST_BEFORE_SEND) {
            group.leadership().observe(new LeadershipEvidence.ConnectionLost(endpointId), now);
        }
    }

    private void observeUnreachable(GroupState group, String endpointId, long sentAt, long now) {
        boolean refused = now - sentAt < connectTimeout * REFUSED_TIMEOUT_FRACTION;
        group.leadership()
                .observe(
                        refused
                                ? new LeadershipEvidence.ConnectionRefused(endpointId)
                                : new LeadershipEvidence.Unresponsive(endpointId, sentAt),
                        now);
    }

    /**
     * Takes the result of a health check as evidence and returns its load report, with an outdated role replaced by
     * UNKNOWN.
     */
    LoadReport filterHealthCheck(String endpointId, AttemptResult result, long duration, LoadReport report, long now) {
        GroupState group = groups.groupOf(endpointId);
        if (group == null) {
            return report;
        }
        if (result == AttemptResult.UNREACHABLE) {
            observeUnreachable(group, endpointId, now - duration, now);
        } else if (result == AttemptResult.TIMEOUT) {
            group.leadership().observe(new LeadershipEvidence.Unresponsive(endpointId, now - duration), now);
        }
        return filterReport(group, endpointId, report, now);
    }

    /** Takes a load report as evidence and returns it, with an outdated role replaced by UNKNOWN. */
    LoadReport filterReport(String endpointId, LoadReport report, long now) {
        GroupState group = groups.groupOf(endpointId);
        return group == null ? report : filterReport(group, endpointId, report, now);
    }

    /**
     * Uses the log position as the time of the report: a primary's position is the current time, a replica's is an
     * earlier time. A report without a position is returned unchanged and is not evidence.
     */
    private LoadReport filterReport(GroupState group, String endpointId, LoadReport report, long now) {
        if (report == null || report.role() == Role.UNKNOWN || report.position() == AbsentValue.NONE) {
            return report;
        }
        LeadershipEvidence.RoleReported reported =
                new LeadershipEvidence.RoleReported(endpointId, report.role(), report.position(), report.position());
        return group.leadership().observe(reported, now) ? report : withUnknownRole(report);
    }

    private static LoadReport withUnknownRole(LoadReport r) {
        return new LoadReport(r.position(), Role.UNKNOWN, r.queueLength(), r.utilization(), r.inFlight());
    }
}
