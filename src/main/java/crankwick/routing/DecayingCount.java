package crankwick.routing;

/** A count of events that fades: each counts for 1 at first and for 1/e after the time constant. */
final class DecayingCount {
    private final double timeConstant;
    private double count;
    private long countedAt;

    DecayingCount(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    double at(long now) {
        return count * Math.exp((countedAt - now) / timeConstant);
    }

    void add(long now) {
        count = at(now) + 1;
        countedAt = now;
    }
}
