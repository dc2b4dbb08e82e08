package crankwick.routing;

/** A smoothed mean that goes back to a resting value, in a straight line, while nothing is learnt. */
final class FadingMean {
    private final double gain;
    private final double resting;
    private final long memory;
    private double mean;
    private long learntAt;

    FadingMean(double gain, double resting, long memory) {
        this.gain = gain;
        this.resting = resting;
        this.memory = memory;
    }

    double at(long now) {
        return resting + Math.max(0, 1 - (now - learntAt) / (double) memory) * (mean - resting);
    }

    void learn(double sample, long now) {
        double before = at(now);
        mean = before + gain * (sample - before);
        learntAt = now;
    }
}
