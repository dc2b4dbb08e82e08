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
    /**
     * Latency ratio of an idle endpoint: its mean duration divided by the typical duration, which is a low quantile.
     */
    static final double BASELINE_LATENCY_RATIO = 1.8;
    /** Observed latencies decay over this time, so that a slow endpoint is eventually selected again. */
    static final long LATENCY_DECAY_MICROS = 2 * MICROS_PER_SECOND;

    /** The typical duration is this quantile of the durations: a low one, which overload hardly raises. */
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

    /** Returns the typical duration of the request's class, in microseconds. */
    double typicalDuration(PendingRequest request) {
        return typicalDurations.get(request.classIndex()).value();
    }

    /** Returns the mean duration of the request's class at an idle endpoint, in microseconds. */
    double baselineDuration(PendingRequest request) {
        return typicalDuration(request) * BASELINE_LATENCY_RATIO;
    }

    /**
     * Returns the mean latency ratio over all endpoints of a role. With many proxies, one proxy sends an endpoint a
     * request only every few seconds, so that only the endpoints together reveal a burst in time. The estimate is
     * inaccurate if only some groups are slow.
     */
    double roleRatio(Role role, long now) {
        return roleRatios.get(role).at(now);
    }

    /**
     * Returns the latency ratio observed in the endpoint's own responses; it decays while no attempt is in flight, for
     * a replica towards the mean ratio of replicas, otherwise towards the baseline.
     */
    double observedRatio(EndpointState endpoint, long now) {
        if (endpoint.concurrency().inFlight() > 0) {
            return endpoint.latency().lastRatio();
        }
        double baseline = endpoint.role() == Role.REPLICA ? roleRatio(endpoint.role(), now) : BASELINE_LATENCY_RATIO;
        return endpoint.latency().ratioDecayedTo(baseline, now);
    }

    /** Returns the expected latency ratio, the higher of the estimates from responses and from the load report. */
    double expectedRatio(EndpointState endpoint, long now) {
        return Math.max(
                observedRatio(endpoint, now),
                BASELINE_LATENCY_RATIO + endpoint.load().addedLatency(now));
    }

    /** Returns the duration of the request estimated from the endpoint's own responses, in microseconds. */
    double observedDuration(EndpointState endpoint, PendingRequest request, long now) {
        return typicalDuration(request) * observedRatio(endpoint, now);
    }

    /** Returns the expected duration of the request at the endpoint, in microseconds. */
    double expectedDuration(EndpointState endpoint, PendingRequest request, long now) {
        return typicalDuration(request) * expectedRatio(endpoint, now);
    }

    /** Records the duration of an attempt at an endpoint of the role, or a lower bound of it. */
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
