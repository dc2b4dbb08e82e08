package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.AbsentValue;
import java.util.SplittableRandom;

/**
 * Outlier ejection of one endpoint. If too many attempts fail, the endpoint is ejected until a trial attempt after a
 * backoff succeeds. If all endpoints fail for a common external cause, all are ejected and get only trials.
 */
final class OutlierDetector {
    /**
     * Failure rate above which the endpoint is ejected; at a rate up to one half, the endpoint still serves most
     * attempts.
     */
    private static final double EJECTION_FAILURE_RATE = 0.5;

    private static final double FAILURE_RATE_GAIN = 0.2;
    /**
     * The ejection time of an endpoint without other recent faults, longer than short pauses of a healthy endpoint;
     * doubled for each other recent fault or ejection.
     */
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

    /** Returns whether the ejection time is over, so that an ejected endpoint may be sent a trial attempt. */
    boolean allowsTrial(long now) {
        return ejectedUntil <= now;
    }

    /**
     * Records a fault that does not eject the endpoint, but lowers its selection weight and lengthens its next
     * ejection.
     */
    void recordFault(long now) {
        recentFaults.add(now);
    }

    /** Records a failed attempt; returns true if this ejected the endpoint and it was not already ejected. */
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

    /** Records a connection failure, which ejects the endpoint at once; returns true if it was not ejected yet. */
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
     * Records a successful attempt; returns true if this readmitted the endpoint. The success of an attempt sent
     * before the ejection does not readmit the endpoint unless the failure rate is low.
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

    /**
     * Ends the ejection and resets the failure rate because the endpoint's process has been replaced; recent faults
     * still count.
     */
    void reset() {
        failureRate = 0;
        ejectedUntil = AbsentValue.NONE;
    }

    /** Returns a reliability from 0 to 1, where 1 means no recent failures or faults. */
    double reliability(long now) {
        return (1 - failureRate) / (1 + recentFaults.at(now));
    }
}
