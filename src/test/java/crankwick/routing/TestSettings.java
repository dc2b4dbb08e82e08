package crankwick.routing;

import crankwick.routing.api.ConsistencyLevel;
import crankwick.routing.api.CostWeights;
import crankwick.routing.api.DeduplicationScope;
import crankwick.routing.api.Idempotency;
import crankwick.routing.api.RequestClass;
import crankwick.routing.api.RoleVisibility;
import crankwick.routing.api.RoutingLimits;
import crankwick.routing.api.RoutingRules;
import crankwick.routing.api.RoutingSettings;
import crankwick.routing.api.StaleReadPolicy;
import java.util.List;

/** Settings shared by tests: one request class, writes with an idempotency key that are deduplicated per group. */
public final class TestSettings {
    private static final long MICROS_PER_MILLI = 1_000;

    private TestSettings() {}

    /** Creates the settings; times are in microseconds. */
    public static RoutingSettings keyedWrite(
            long keyTtl, long deadline, long connectTimeout, boolean healthChecksAllowed) {
        return write(Idempotency.WITH_KEY, keyTtl, deadline, connectTimeout, healthChecksAllowed);
    }

    /** As above, for writes of any idempotency. */
    public static RoutingSettings write(
            Idempotency idempotency, long keyTtl, long deadline, long connectTimeout, boolean healthChecksAllowed) {
        return new RoutingSettings(
                1,
                0,
                false,
                true,
                true,
                StaleReadPolicy.WAIT,
                RoleVisibility.DELAYED,
                new RoutingRules(
                        20 * MICROS_PER_MILLI,
                        2_000 * MICROS_PER_MILLI,
                        false,
                        0.18,
                        16_000 * MICROS_PER_MILLI,
                        2.5,
                        2_000 * MICROS_PER_MILLI),
                new RoutingLimits(healthChecksAllowed, true, true, 2_000 * MICROS_PER_MILLI, 8, connectTimeout),
                new CostWeights(0.01, 0.02, 0.05),
                List.of(new RequestClass(
                        ConsistencyLevel.WRITE,
                        0,
                        idempotency,
                        DeduplicationScope.GROUP,
                        keyTtl,
                        750 * MICROS_PER_MILLI,
                        deadline,
                        6,
                        0.5)));
    }
}
