package crankwick.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdate;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingActions;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRequest;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shows how a proxy embeds the router. */
class RouterExampleTest {
    @Test
    void requestIsSentToTheOnlyEndpoint() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        routeOneRequest(new PrintStream(output, true, StandardCharsets.UTF_8));
        assertEquals("send 1 to db-1\n", output.toString(StandardCharsets.UTF_8));
    }

    private static void routeOneRequest(PrintStream out) {
        RoutingSettings settings = new RoutingSettings(
                1,
                0,
                false,
                true,
                false,
                StaleReadPolicy.SERVE,
                RoleVisibility.HIDDEN,
                new RoutingRules(20_000, 500_000, false, 0.2, 18_000_000, 3, 1_500_000),
                new RoutingLimits(true, true, true, 500_000, 8, 250_000),
                new CostWeights(0, 0.02, 0.05),
                List.of(new RequestClass(
                        ConsistencyLevel.EVENTUAL,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.FLEET,
                        0,
                        400_000,
                        1_000_000,
                        1,
                        0)));
        Router router = new Router(settings, 42);
        RoutingActions actions = new PrintingActions(out);
        long now = 1_000_000;
        router.handle(
                now,
                new EndpointUpdate(
                        EndpointUpdateKind.FULL,
                        List.of(new Endpoint("db-1", 0, 7, Role.UNKNOWN, EndpointStatus.LIVE, 0))),
                actions);
        router.handle(now, new RoutingRequest(1, 0, 7, AbsentValue.NONE, AbsentValue.NONE, now + 900_000), actions);
    }

    private record PrintingActions(PrintStream out) implements RoutingActions {
        @Override
        public void send(long id, String endpoint, long timeout) {
            out.print("send " + id + " to " + endpoint + "\n");
        }

        @Override
        public void reject(long id, long retryAfter) {
            out.print("reject " + id + "\n");
        }

        @Override
        public void fail(long id) {
            out.print("fail " + id + "\n");
        }

        @Override
        public void checkHealth(String endpoint) {}

        @Override
        public void cancelAttempt(long id, int attempt) {}

        @Override
        public void scheduleTimer(long delay, long timerId) {}

        @Override
        public void watchEndpoints() {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void log(String line) {}
    }
}
