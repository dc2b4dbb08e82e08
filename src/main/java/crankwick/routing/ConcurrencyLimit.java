package crankwick.routing;

import static crankwick.routing.TimeUnits.NEVER;

/**
 * The adaptive concurrency limit of one endpoint: additive increase, multiplicative decrease. A limit below
 * 1 enforces a minimum interval between attempts, which bounds the total queue built up by all proxies. The limit
 * may be too strict for a request class that is inherently slow.
 */
final class ConcurrencyLimit {
    /**
     * Initial concurrency limit of an endpoint, summed over all proxies; a single proxy's initial limit is at least 1.
     */
    static final double INITIAL_FLEET_LIMIT = 18;
    /**
     * Minimum concurrency limit of an endpoint, summed over all proxies; a single proxy's minimum is at most 1. Also
     * the minimum rate of attempts, summed over all proxies and per second, to an endpoint in slow start.
     */
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

    /**
     * Returns whether the limit admits another attempt to an endpoint with this fraction of its capacity; one attempt
     * in flight is always admitted.
     */
    boolean allowsConcurrent(double capacityFraction) {
        return inFlight < Math.max(1, limit * capacityFraction * capacityFraction);
    }

    /**
     * Returns whether the minimum interval between attempts is over, for attempts that take {@code duration} each.
     * Always true for a limit of 1 or more, which sets no minimum interval.
     */
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
