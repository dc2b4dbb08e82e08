package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.RoutingRules;

/** The slow start of one endpoint: its capacity after a restart and its credit for attempts until it is warm. */
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

    /** Returns whether a process started at {@code start} is still in slow start. */
    boolean isActiveFor(long start, long now) {
        return now - start < rules.slowStartDuration();
    }

    /** Returns the minimum fraction of its full capacity that the endpoint has now according to the rules. */
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

    /** Begins a slow start; a random initial credit keeps the proxies from all sending at the same time. */
    void restart(long start, double initialCredit, long now) {
        startedAt = start;
        credit = initialCredit;
        creditUpdatedAt = now;
    }

    /**
     * Accrues credit at this rate, in attempts per second, up to a maximum, and returns whether the credit covers an
     * attempt.
     */
    boolean earnCredit(double rate, long now) {
        credit = Math.min(MAX_CREDIT, credit + rate * (now - creditUpdatedAt) / MICROS_PER_SECOND);
        creditUpdatedAt = now;
        return credit >= 1;
    }

    /** Deducts the credit for one attempt. */
    void spendCredit() {
        credit--;
    }
}
