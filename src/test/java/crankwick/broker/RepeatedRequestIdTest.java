package crankwick.broker;

import static org.testng.Assert.assertEquals;

import crankwick.routing.TestSettings;
import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.Role;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request that comes again under its id on another connection, in simulated time. */
public class RepeatedRequestIdTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long START = 1_000 * MICROS_PER_SECOND;
    private static final String CLIENT_REQUEST_ID = "5c0f";

    private Broker broker;

    /** Idempotency, result of the first attempt, seconds until the repeat, attempts of the repeat. */
    @DataProvider
    public Object[][] repeats() {
        return new Object[][] {
            {Idempotency.NON_IDEMPOTENT, AttemptResult.OK, 1, 0},
            {Idempotency.NON_IDEMPOTENT, AttemptResult.RESET, 1, 0},
            {Idempotency.NON_IDEMPOTENT, AttemptResult.NOT_SENT, 1, 1},
            {Idempotency.NON_IDEMPOTENT, AttemptResult.OK, 60, 1},
            {Idempotency.IDEMPOTENT, AttemptResult.OK, 1, 1},
            {Idempotency.WITH_KEY, AttemptResult.OK, 1, 1},
        };
    }

    /** Guards against executing a request twice when its client leaves during the attempt and sends it again. */
    @Test(dataProvider = "repeats")
    public void requestThatMayHaveExecutedIsNotExecutedAgain(
            Idempotency idempotency, AttemptResult first, int seconds, int attempts) {
        broker = new Broker(
                TestSettings.write(idempotency, MICROS_PER_SECOND, 3 * MICROS_PER_SECOND, MICROS_PER_SECOND / 4, false),
                1,
                Map.of("", Contract.UNLIMITED),
                null);
        broker.reduce(
                new BrokerEvent.EndpointsUpdated(
                        EndpointUpdateKind.FULL,
                        List.of(new Endpoint("a", 0, 0, Role.PRIMARY, EndpointStatus.LIVE, 0))),
                START);
        assertEquals(receive(1, START), 1);
        broker.reduce(new BrokerEvent.RequestAbandoned(1, AbandonReason.CLOSED), START);
        broker.reduce(
                new BrokerEvent.AttemptEnded(1, 0, first, 0, Role.PRIMARY, AbsentValue.NONE, null, new byte[0]), START);
        assertEquals(receive(2, START + seconds * MICROS_PER_SECOND), attempts);
    }

    private long receive(long requestId, long now) {
        ClientRequest request = new ClientRequest(
                requestId, CLIENT_REQUEST_ID, "", 0, 0, 9, AbsentValue.NONE, 2 * MICROS_PER_SECOND, "k", 0);
        return broker.reduce(new BrokerEvent.RequestReceived(request), now).stream()
                .filter(Effect.SendAttempt.class::isInstance)
                .count();
    }
}
