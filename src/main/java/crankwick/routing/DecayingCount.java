package crankwick.routing;

/** An exponentially decaying count of events: an event counts as 1 when added and as 1/e one time constant later. */
final class DecayingCount {
    private final double timeConstant;
    private double count;
    private long updatedAt;

    DecayingCount(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    double at(long now) {
        return count * Math.exp((updatedAt - now) / timeConstant);
    }

    void add(long now) {
        count = at(now) + 1;
        updatedAt = now;
    }
}
