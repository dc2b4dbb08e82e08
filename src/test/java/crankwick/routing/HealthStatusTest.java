package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import crankwick.routing.api.RoutingLimits;
import org.junit.jupiter.api.Test;

/** Tests when an endpoint counts as unresponsive or restarted. */
class HealthStatusTest {
    private static final long NOW = 1_000_000_000L;
    private static final long CONNECT_TIMEOUT = 250_000;

    private static HealthStatus health(boolean healthChecksAllowed) {
        return new HealthStatus(new RoutingLimits(healthChecksAllowed, true, true, 0, 8, CONNECT_TIMEOUT));
    }

    @Test
    void endpointIsUnresponsiveFromItsFirstHealthCheckUntilAResponse() {
        HealthStatus health = health(true);
        assertFalse(health.isUnresponsive(0, NOW));
        health.startHealthCheck(NOW);
        health.startHealthCheck(NOW + 50);
        assertTrue(health.isUnresponsive(99, NOW + 100));
        assertFalse(health.isUnresponsive(100, NOW + 100));
        assertFalse(health.recordResponse(NOW + 100), "no connection was refused");
        assertFalse(health.isUnresponsive(0, NOW + 200));
        assertTrue(health.hasRespondedWithin(100, NOW + 200));
        assertFalse(health.hasRespondedWithin(99, NOW + 200));
    }

    @Test
    void responseAfterRefusedConnectionIndicatesNewProcess() {
        HealthStatus health = health(true);
        health.recordUnreachable(1_000, NOW);
        assertTrue(health.isUnresponsive(HealthStatus.LOST_AFTER_MICROS, NOW));
        assertTrue(health.recordResponse(NOW + 1));
        assertFalse(health.recordResponse(NOW + 2));
    }

    @Test
    void connectTimeoutIsNotARefusedConnection() {
        HealthStatus health = health(true);
        health.recordUnreachable(CONNECT_TIMEOUT, NOW);
        assertFalse(health.recordResponse(NOW + 1));
    }

    @Test
    void withoutHealthChecksNoEndpointIsUnresponsive() {
        HealthStatus health = health(false);
        health.recordUnreachable(1_000, NOW);
        assertFalse(health.isUnresponsive(0, NOW));
    }
}
