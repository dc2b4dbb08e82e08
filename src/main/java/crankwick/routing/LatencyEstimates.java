package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.RequestClass;
import crankwick.routing.api.Role;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Latency estimates: a typical duration for each request class, and the latency of each endpoint and role as a
 * multiple (ratio) of typical durations.
 */
final class LatencyEstimates {
    /** The ratio of an idle endpoint: the mean over the typical duration, which is a low quantile. */
    static final double BASELINE_LATENCY_RATIO = 1.8;
    /** Observed latencies fade over this time, so that an endpoint is tried again. */
    static final long LATENCY_DECAY_MICROS = 2 * MICROS_PER_SECOND;

    /** A low quantile, so that overload hardly raises it. */
    private static final double TYPICAL_DURATION_QUANTILE = 0.3;

    private static final double TYPICAL_DURATION_GAIN = 0.02;
    /** The initial typical duration is the latency objective divided by this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 8.0;

    private static final double ENDPOINT_GAIN = 0.2;
    private static final double ROLE_GAIN = 0.05;

    private final List<QuantileEstimate> typicalDurations = new ArrayList<>();
    private final Map<Role, DecayingMean> roleRatios = new EnumMap<>(Role.class);

    LatencyEstimates(List<RequestClass> requestClasses) {
        for (RequestClass requestClass : requestClasses) {
            typicalDurations.add(new QuantileEstimate(
                    TYPICAL_DURATION_GAIN,
                    TYPICAL_DURATION_QUANTILE,
                    requestClass.latencyObjective() / INITIAL_OBJECTIVE_DIVISOR));
        }
        for (Role role : Role.values()) {
            roleRatios.put(role, new DecayingMean(ROLE_GAIN, BASELINE_LATENCY_RATIO, LATENCY_DECAY_MICROS));
        }
    }

    /** The typical duration of the request's class, in microseconds. */
    double typicalDuration(PendingRequest request) {
        return typicalDurations.get(request.classIndex()).value();
    }

    /** The mean duration of the request's class at an idle endpoint, in microseconds. */
    double baselineDuration(PendingRequest request) {
        return typicalDuration(request) * BASELINE_LATENCY_RATIO;
    }

    /**
     * The latency ratio of all endpoints of a role. With many proxies each meets one endpoint every few seconds,
     * so only all together show a burst in time. It may hurt where some groups are slow alone.
     */
    double roleRatio(Role role, long now) {
        return roleRatios.get(role).at(now);
    }

    /** The latency ratio that the endpoint's own responses show. */
    double observedRatio(EndpointState endpoint, long now) {
        if (endpoint.concurrency().inFlight() > 0) {
            return endpoint.latency().lastRatio();
        }
        double baseline = endpoint.role() == Role.REPLICA ? roleRatio(endpoint.role(), now) : BASELINE_LATENCY_RATIO;
        return endpoint.latency().ratioDecayedTo(baseline, now);
    }

    /** The latency ratio to expect of the endpoint, by its responses or by its load report. */
    double expectedRatio(EndpointState endpoint, long now) {
        return Math.max(
                observedRatio(endpoint, now),
                BASELINE_LATENCY_RATIO + endpoint.load().addedLatency(now));
    }

    /** The duration of the request at the endpoint by the endpoint's own responses, in microseconds. */
    double observedDuration(EndpointState endpoint, PendingRequest request, long now) {
        return typicalDuration(request) * observedRatio(endpoint, now);
    }

    /** The expected duration of the request at the endpoint, in microseconds. */
    double expectedDuration(EndpointState endpoint, PendingRequest request, long now) {
        return typicalDuration(request) * expectedRatio(endpoint, now);
    }

    /** Records how long any attempt took, or took at least, at an endpoint of the role. */
    void recordAttempt(Role role, PendingRequest request, long duration, long now) {
        roleRatios.get(role).add(duration / typicalDuration(request), now);
    }

    /** Records the duration of a successful attempt at the endpoint. */
    void recordSuccess(EndpointState endpoint, PendingRequest request, long duration, long now) {
        typicalDurations.get(request.classIndex()).add(duration);
        double observed = observedRatio(endpoint, now);
        double sample = duration / typicalDuration(request);
        endpoint.latency().update(observed + ENDPOINT_GAIN * (sample - observed), now);
    }
}
