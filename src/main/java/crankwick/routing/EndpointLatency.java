package crankwick.routing;

import static crankwick.routing.TimeUnits.NEVER;

/** The latency of one endpoint as a multiple of its requests' typical durations. */
final class EndpointLatency {
    private double ratio = LatencyEstimates.BASELINE_LATENCY_RATIO;
    private long updatedAt = NEVER;

    /** The ratio as last updated. */
    double lastRatio() {
        return ratio;
    }

    /** The ratio as it fades to the given baseline value, so that the endpoint is tried again. */
    double ratioDecayedTo(double baseline, long now) {
        return baseline
                + DecayingMean.remainingWeight(updatedAt, LatencyEstimates.LATENCY_DECAY_MICROS, now)
                        * (ratio - baseline);
    }

    void update(double ratio, long now) {
        this.ratio = ratio;
        updatedAt = now;
    }

    /** Forgets what an earlier process of the endpoint has shown. */
    void reset() {
        ratio = LatencyEstimates.BASELINE_LATENCY_RATIO;
    }
}
