package crankwick.routing;

/** An exponentially weighted mean that returns linearly to a baseline while there are no samples. */
final class DecayingMean {
    private final double gain;
    private final double baseline;
    private final long decayTime;
    private double mean;
    private long updatedAt;

    DecayingMean(double gain, double baseline, long decayTime) {
        this.gain = gain;
        this.baseline = baseline;
        this.decayTime = decayTime;
    }

    /** Returns the remaining weight of an observation, from 1 at {@code observedAt} to 0 after {@code decayTime}. */
    static double remainingWeight(long observedAt, long decayTime, long now) {
        return Math.max(0, 1 - (now - observedAt) / (double) decayTime);
    }

    double at(long now) {
        return baseline + remainingWeight(updatedAt, decayTime, now) * (mean - baseline);
    }

    void add(double sample, long now) {
        double decayed = at(now);
        mean = decayed + gain * (sample - decayed);
        updatedAt = now;
    }
}
