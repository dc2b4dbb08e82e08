package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.AbsentValue;
import java.util.SplittableRandom;

/**
 * Outlier ejection of one endpoint: if too many attempts fail, it is ejected until a trial after a backoff
 * succeeds. It may hurt when all endpoints fail for one outside cause: each then gets only trials.
 */
final class OutlierDetector {
    /** Fraction of recent attempts that fail before the endpoint is ejected: below half, it still helps. */
    private static final double EJECTION_FAILURE_RATE = 0.5;

    private static final double FAILURE_RATE_GAIN = 0.2;
    /** Longer than short pauses; doubles with each recent fault. */
    private static final long INITIAL_EJECTION_MICROS = 400 * MICROS_PER_MILLI;

    private static final long MAX_EJECTION_MICROS = 4 * MICROS_PER_SECOND;
    private static final long FAULT_TIME_CONSTANT_MICROS = 10 * MICROS_PER_SECOND;

    private final DecayingCount recentFaults = new DecayingCount(FAULT_TIME_CONSTANT_MICROS);
    private double failureRate;
    private long ejectedSince;
    private long ejectedUntil = AbsentValue.NONE;

    boolean isEjected() {
        return ejectedUntil != AbsentValue.NONE;
    }

    /** Whether an ejected endpoint may be sent a trial, its ejection time being over. */
    boolean allowsTrial(long now) {
        return ejectedUntil <= now;
    }

    /** Records a fault that lowers the endpoint's weight but does not eject it. */
    void recordFault(long now) {
        recentFaults.add(now);
    }

    /** Records a failed attempt; returns true if it has ejected the endpoint. */
    boolean recordFailure(long now, SplittableRandom random) {
        failureRate += FAILURE_RATE_GAIN * (1 - failureRate);
        if (failureRate <= EJECTION_FAILURE_RATE || ejectedUntil > now) {
            return false;
        }
        boolean newlyEjected = !isEjected();
        if (newlyEjected) {
            ejectedSince = now;
        }
        eject(now, random);
        return newlyEjected;
    }

    /** Records that no connection was possible, which ejects at once; returns true if it has done so. */
    boolean recordConnectionFailure(long now, SplittableRandom random) {
        failureRate = 1;
        return recordFailure(now, random);
    }

    /** Ejects the endpoint, or extends its ejection while a trial is in flight. */
    void eject(long now, SplittableRandom random) {
        recentFaults.add(now);
        double interval = INITIAL_EJECTION_MICROS * Math.pow(2, recentFaults.at(now) - 1);
        ejectedUntil = now + Jitter.apply((long) Math.min(MAX_EJECTION_MICROS, interval), random);
    }

    /**
     * Records a successful attempt; returns true if it has readmitted the endpoint. An attempt sent before the
     * ejection proves nothing.
     */
    boolean recordSuccess(long sentAt) {
        failureRate *= 1 - FAILURE_RATE_GAIN;
        if (!isEjected() || sentAt <= ejectedSince && failureRate >= EJECTION_FAILURE_RATE / 2) {
            return false;
        }
        ejectedUntil = AbsentValue.NONE;
        failureRate = Math.min(failureRate, EJECTION_FAILURE_RATE / 2);
        return true;
    }

    /** Forgets the failures of an earlier process of the endpoint. */
    void reset() {
        failureRate = 0;
        ejectedUntil = AbsentValue.NONE;
    }

    /** From 1 for an endpoint without failures and faults down to 0. */
    double reliability(long now) {
        return (1 - failureRate) / (1 + recentFaults.at(now));
    }
}
