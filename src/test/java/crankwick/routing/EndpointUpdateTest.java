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

/** Tests empty and partial endpoint lists. */
class EndpointUpdateTest {
    @Test
    void proxyWithoutEndpointsRejectsImmediately() {
        // Incident h9de977: proxies that restarted with an empty list queued every request past its latency objective.
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
        RouterTestHarness unlistedUnusable = RouterTestHarness.withProxyCount(3);
        unlistedUnusable.handle(new EndpointUpdate(EndpointUpdateKind.FULL, List.of()));
        assertNull(
                unlistedUnusable.sentTo(unlistedUnusable.request(RouterTestHarness.EVENTUAL_READ)),
                "unlisted endpoints get no requests unless the rules allow it");
    }

    @Test
    void removalAfterDrainingStillExcludesTheEndpoint() {
        RouterTestHarness.SettingsBuilder settings = new RouterTestHarness.SettingsBuilder();
        settings.unlistedEndpointsUsable = true;
        RouterTestHarness harness = RouterTestHarness.withHealthyGroup(settings.build());
        harness.updateEndpoint("r1", EndpointStatus.DRAINING, 0);
        List<Endpoint> remaining = List.of(harness.endpointList.get(0), harness.endpointList.get(2));
        harness.handle(new EndpointUpdate(EndpointUpdateKind.FULL, remaining));
        for (int i = 0; i < 10; i++) {
            long read = harness.request(RouterTestHarness.EVENTUAL_READ);
            assertEquals("r2", harness.sentTo(read), "r1 was removed while draining");
            harness.succeed(read);
        }
    }
}
