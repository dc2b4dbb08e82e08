package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.RoutingRules;

/** The slow start of one endpoint: its capacity after a restart, and the credit for attempts meanwhile. */
final class SlowStart {
    private static final double MAX_CREDIT = 1.5;

    private final RoutingRules rules;
    private long startedAt;
    private double credit;
    private long creditUpdatedAt;

    SlowStart(RoutingRules rules) {
        this.rules = rules;
    }

    long startedAt() {
        return startedAt;
    }

    /** Whether a process started at the given time is still in slow start. */
    boolean isActiveFor(long start, long now) {
        return now - start < rules.slowStartDuration();
    }

    /** The fraction of its capacity that the endpoint has for certain, by the worst case of the rules. */
    double capacityFraction(long now) {
        long duration = rules.slowStartDuration();
        if (startedAt <= 0 || now - startedAt >= duration) {
            return 1;
        }
        double initial = rules.startCapacity();
        return initial + (1 - initial) * Math.max(0, now - startedAt) / duration;
    }

    boolean isWarm(long now) {
        return capacityFraction(now) >= 1;
    }

    /** Begins a slow start; random initial credit keeps proxies from sending all at once. */
    void restart(long start, double initialCredit, long now) {
        startedAt = start;
        credit = initialCredit;
        creditUpdatedAt = now;
    }

    /** Earns credit at this rate, in attempts per second, and tells whether it pays for an attempt. */
    boolean earnCredit(double rate, long now) {
        credit = Math.min(MAX_CREDIT, credit + rate * (now - creditUpdatedAt) / MICROS_PER_SECOND);
        creditUpdatedAt = now;
        return credit >= 1;
    }

    /** Pays for an attempt. */
    void spendCredit() {
        credit--;
    }
}
