package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Empty and partial endpoint lists. */
class EndpointUpdateTest {
    @Test
    void proxyWithoutEndpointsRejectsImmediately() {
        // Incident h9de977: proxies restarted with an empty list queued each request until it was late.
        RouterTestHarness harness = RouterTestHarness.withoutEndpoints();
        long read = harness.request(RouterTestHarness.EVENTUAL_READ);
        long write = harness.request(RouterTestHarness.WRITE);
        assertTrue(harness.isRejected(read));
        assertTrue(harness.isRejected(write));
        harness.addEndpoints("p", "r1");
        assertTrue(harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)) != null);
    }

    @Test
    void emptyListIsIgnoredWhereUnlistedEndpointsAreUsable() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertTrue(
                harness.sentTo(harness.request(RouterTestHarness.EVENTUAL_READ)).startsWith("r"));
        assertEquals("p", harness.sentTo(harness.request(RouterTestHarness.WRITE)));
        RouterTestHarness bound = RouterTestHarness.withProxyCount(3);
        bound.handle(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertNull(
                bound.sentTo(bound.request(RouterTestHarness.EVENTUAL_READ)),
                "where unlisted endpoints are not usable, they get nothing");
    }

    @Test
    void removalAfterDrainingStillExcludesTheEndpoint() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.updateEndpoint("r1", EndpointStatus.DRAINING, 0);
        List<Endpoint> rest = List.of(harness.endpointList.get(0), harness.endpointList.get(2));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, rest));
        for (int i = 0; i < 10; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(read), "removed while draining");
            harness.succeed(read);
        }
    }
}
