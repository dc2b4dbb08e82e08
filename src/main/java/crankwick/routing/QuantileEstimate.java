package crankwick.routing;

/** A streaming estimate of one quantile; each sample moves the estimate by a fraction of its current value. */
final class QuantileEstimate {
    private final double gain;
    private final double quantile;
    private double estimate;

    QuantileEstimate(double gain, double quantile, double initial) {
        this.gain = gain;
        this.quantile = quantile;
        estimate = initial;
    }

    double value() {
        return estimate;
    }

    void add(double sample) {
        estimate *= 1 + gain * (sample > estimate ? quantile : quantile - 1);
    }
}
