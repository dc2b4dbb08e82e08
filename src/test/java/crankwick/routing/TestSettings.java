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

/** Settings that tests of the broker share: one class, a keyed write whose repeats its own group discards. */
public final class TestSettings {
    private static final long MS = 1_000;

    private TestSettings() {}

    /** Times are microseconds. */
    public static RoutingSettings keyedWrite(long keyTtl, long deadline, long connectTimeout, boolean probes) {
        return new RoutingSettings(
                1,
                0,
                false,
                true,
                true,
                StaleReadPolicy.WAIT,
                RoleVisibility.DELAYED,
                new RoutingRules(20 * MS, 2_000 * MS, false, 0.18, 16_000 * MS, 2.5, 2_000 * MS),
                new RoutingLimits(probes, true, true, 2_000 * MS, 8, connectTimeout),
                new CostWeights(0.01, 0.02, 0.05),
                List.of(new RequestClass(
                        ConsistencyLevel.WRITE,
                        0,
                        Idempotency.WITH_KEY,
                        DeduplicationScope.GROUP,
                        keyTtl,
                        750 * MS,
                        deadline,
                        6,
                        0.5)));
    }
}
