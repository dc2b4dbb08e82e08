package crankwick.routing;

/** An exponentially weighted mean that returns linearly to a resting value while there are no samples. */
final class FadingMean {
    private final double gain;
    private final double resting;
    private final long memory;
    private double mean;
    private long updatedAt;

    FadingMean(double gain, double resting, long memory) {
        this.gain = gain;
        this.resting = resting;
        this.memory = memory;
    }

    /** The weight left of an observation: 1 at {@code observedAt}, falling to 0 after {@code memory}. */
    static double remainingWeight(long observedAt, long memory, long now) {
        return Math.max(0, 1 - (now - observedAt) / (double) memory);
    }

    double at(long now) {
        return resting + remainingWeight(updatedAt, memory, now) * (mean - resting);
    }

    void add(double sample, long now) {
        double before = at(now);
        mean = before + gain * (sample - before);
        updatedAt = now;
    }
}
