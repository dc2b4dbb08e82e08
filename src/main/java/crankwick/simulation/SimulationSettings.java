package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;
import static crankwick.simulation.TimeUnits.SECONDS;

import crankwick.failover.FailoverSettings;
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

/** The settings of the simulated proxy. */
final class SimulationSettings {
    /** Indexes of the request classes in {@link #routing}. */
    static final int SESSION_READ = 0;

    static final int STRONG_READ = 1;
    static final int WRITE = 2;
    /** How long databases keep an idempotency key for deduplication. */
    static final long KEY_TTL_MICROS = 2 * SECONDS;

    private static final long CONNECT_TIMEOUT_MICROS = 250 * MILLIS;
    private static final int UNLIMITED_WINDOW = 1_000_000;

    private SimulationSettings() {}

    /** Settings with three request classes: session read, strong read, and write with the given key TTL. */
    static RoutingSettings routing(long keyTtlMicros) {
        return new RoutingSettings(
                1,
                0,
                false,
                true,
                true,
                StaleReadPolicy.WAIT,
                RoleVisibility.DELAYED,
                new RoutingRules(20 * MILLIS, 2 * SECONDS, false, 0.18, 16 * SECONDS, 2.5, 2 * SECONDS),
                new RoutingLimits(true, true, true, 2 * SECONDS, 8, CONNECT_TIMEOUT_MICROS),
                new CostWeights(0.0095, 0.021, 0.05),
                List.of(sessionRead(), strongRead(), write(keyTtlMicros)));
    }

    private static RequestClass sessionRead() {
        return new RequestClass(
                ConsistencyLevel.SESSION,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.FLEET,
                5 * SECONDS,
                500 * MILLIS,
                1_200 * MILLIS,
                1,
                0);
    }

    private static RequestClass strongRead() {
        return new RequestClass(
                ConsistencyLevel.STRONG,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.FLEET,
                5 * SECONDS,
                600 * MILLIS,
                2 * SECONDS,
                1,
                0);
    }

    private static RequestClass write(long keyTtlMicros) {
        return new RequestClass(
                ConsistencyLevel.WRITE,
                0,
                Idempotency.WITH_KEY,
                DeduplicationScope.GROUP,
                keyTtlMicros,
                750 * MILLIS,
                3 * SECONDS,
                6,
                0.5);
    }

    /** Returns the same settings with an initial release window that is practically unlimited. */
    static FailoverSettings withoutPacing(FailoverSettings settings) {
        return new FailoverSettings(
                settings.maxBufferedPerGroup(),
                settings.maxBufferedPerTeam(),
                settings.maxBytesPerGroup(),
                settings.maxBytesPerTeam(),
                settings.minSuccessProbability(),
                UNLIMITED_WINDOW,
                settings.keyMargin(),
                settings.maxKeys(),
                settings.keyRetention(),
                settings.minUnplannedDuration(),
                settings.maxUnplannedDuration(),
                settings.minPlannedDuration(),
                settings.maxPlannedDuration());
    }
}
