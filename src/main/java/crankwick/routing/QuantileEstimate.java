package crankwick.routing;

/** An estimate of one quantile of a stream of durations; each sample moves it by a share of itself. */
final class QuantileEstimate {
    private final double gain;
    private final double quantile;
    private double estimate;

    QuantileEstimate(double gain, double quantile, double start) {
        this.gain = gain;
        this.quantile = quantile;
        estimate = start;
    }

    double value() {
        return estimate;
    }

    void learn(double sample) {
        estimate *= 1 + gain * (sample > estimate ? quantile : quantile - 1);
    }
}
