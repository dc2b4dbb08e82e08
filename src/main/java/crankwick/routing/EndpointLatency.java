package crankwick.routing;

import static crankwick.routing.TimeUnits.NEVER;

/** The latency of one endpoint as a multiple (ratio) of the typical durations of its requests. */
final class EndpointLatency {
    private double ratio = LatencyEstimates.BASELINE_LATENCY_RATIO;
    private long updatedAt = NEVER;

    /** Returns the ratio at the last update, without decay. */
    double lastRatio() {
        return ratio;
    }

    /** Returns the ratio decayed towards the baseline, so that a slow endpoint is eventually selected again. */
    double ratioDecayedTo(double baseline, long now) {
        return baseline
                + DecayingMean.remainingWeight(updatedAt, LatencyEstimates.LATENCY_DECAY_MICROS, now)
                        * (ratio - baseline);
    }

    void update(double ratio, long now) {
        this.ratio = ratio;
        updatedAt = now;
    }

    /** Resets the ratio to the baseline because the endpoint's process has been replaced. */
    void reset() {
        ratio = LatencyEstimates.BASELINE_LATENCY_RATIO;
    }
}
