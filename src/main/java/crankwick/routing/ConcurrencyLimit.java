package crankwick.routing;

import static crankwick.routing.TimeUnits.NEVER;

/**
 * The adaptive concurrency limit of one endpoint: additive increase, multiplicative decrease. Below one request
 * the limit spaces the attempts, which bounds the queue that all proxies build up together. It may hurt where
 * a class is slow by nature.
 */
final class ConcurrencyLimit {
    /** Limit at the start, over all proxies. */
    static final double INITIAL_FLEET_LIMIT = 18;
    /** Lower bound, over all proxies; for an endpoint in slow start, attempts per second. */
    static final double MIN_FLEET_LIMIT = 3;

    private static final double DECREASE_FACTOR = 0.8;
    private static final double MAX_RELATIVE_INCREASE = 0.3;

    private final double minimum;
    private double limit;
    private int inFlight;
    private long lastSentAt = NEVER;

    ConcurrencyLimit(int proxyCount) {
        minimum = Math.min(1, MIN_FLEET_LIMIT / proxyCount);
        limit = Math.max(1, INITIAL_FLEET_LIMIT / proxyCount);
    }

    int inFlight() {
        return inFlight;
    }

    void startAttempt(long now) {
        inFlight++;
        lastSentAt = now;
    }

    void endAttempt() {
        inFlight--;
    }

    /** Whether another attempt fits, for an endpoint that has this fraction of its capacity. */
    boolean allowsConcurrent(double capacityFraction) {
        return inFlight < Math.max(1, limit * capacityFraction * capacityFraction);
    }

    /** Whether the last attempt is long enough ago, for attempts that take {@code duration} each. */
    boolean allowsRate(double duration, long now) {
        return limit >= 1 || now - lastSentAt >= duration / limit;
    }

    void increase() {
        limit += Math.min(MAX_RELATIVE_INCREASE * limit, 1 / limit);
    }

    void decrease() {
        limit = Math.max(minimum, limit * DECREASE_FACTOR);
    }
}
