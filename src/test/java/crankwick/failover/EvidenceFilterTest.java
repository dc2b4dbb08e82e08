package crankwick.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;

import crankwick.failover.Leadership.Phase;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Conversion of observations to evidence, and filtering of reported roles, in one group of a (leader) and b. */
public class EvidenceFilterTest {
    private static final long START = 1_000_000_000;
    private static final long CONNECT_TIMEOUT = 250_000;
    private static final Endpoint A = endpoint("a", Role.PRIMARY);
    private static final Endpoint B = endpoint("b", Role.REPLICA);

    private GroupRegistry groups;
    private EvidenceFilter filter;

    private static Endpoint endpoint(String endpointId, Role role) {
        return new Endpoint(endpointId, 0, 1, role, EndpointStatus.LIVE, 0);
    }

    private static LoadReport report(Role role, long position) {
        return new LoadReport(position, role, 0, 0, 0);
    }

    @BeforeMethod
    public void createGroupLedByA() {
        groups = new GroupRegistry(FailoverSettings.DEFAULT);
        filter = new EvidenceFilter(groups, CONNECT_TIMEOUT);
        assertEquals(filter.filterEndpoints(EndpointUpdateKind.FULL, List.of(A, B), START), List.of(A, B));
        LoadReport primary = report(Role.PRIMARY, START);
        assertSame(filter.filterReport("a", primary, START), primary);
    }

    private Phase phaseAfterUnreachable(long connectDuration) {
        long now = START + CONNECT_TIMEOUT;
        AttemptObservation attempt = new AttemptObservation(
                "a", true, now - connectDuration, AttemptResult.UNREACHABLE, Role.UNKNOWN, AbsentValue.NONE);
        filter.filterRole(attempt, now);
        return groups.group(1).leadership().phase();
    }

    @Test
    public void earlyConnectFailureCountsAsConnectionRefused() {
        assertEquals(phaseAfterUnreachable(199_999), Phase.LEADERLESS);
    }

    @Test
    public void connectFailureNearTheTimeoutOnlySuspectsTheLeader() {
        assertEquals(phaseAfterUnreachable(200_000), Phase.SUSPECTED);
    }

    @Test
    public void listedPrimaryRoleIsUnknownOnceALeaderHasReported() {
        List<Endpoint> filtered = filter.filterEndpoints(EndpointUpdateKind.INCREMENTAL, List.of(A, B), START + 1);
        assertEquals(filtered, List.of(endpoint("a", Role.UNKNOWN), B));
    }

    @Test
    public void endpointsMissingFromAFullListAreRemoved() {
        filter.filterEndpoints(EndpointUpdateKind.FULL, List.of(B), START + 1);
        assertEquals(groups.group(1).leadership().phase(), Phase.LEADERLESS);
        assertEquals(groups.groupIdOf("a"), AbsentValue.NONE);
        filter.filterEndpoints(EndpointUpdateKind.FULL, List.of(), START + 2);
        assertNull(groups.group(1));
    }

    @Test
    public void roleOfAnOutdatedClaimIsUnknown() {
        LoadReport outdated = report(Role.PRIMARY, START - 3_000);
        assertEquals(filter.filterReport("b", outdated, START + 1).role(), Role.UNKNOWN);
        assertEquals(groups.group(1).leadership().leader(), "a");
    }

    @Test
    public void reportsOfUnlistedEndpointsAreNotFiltered() {
        LoadReport unlisted = report(Role.PRIMARY, START - 3_000);
        assertSame(filter.filterReport("other", unlisted, START), unlisted);
    }
}
