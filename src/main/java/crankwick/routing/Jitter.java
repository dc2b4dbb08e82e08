package crankwick.routing;

import java.util.SplittableRandom;

/** Spreads intervals at random, so that many proxies do not act at the same moment. */
final class Jitter {
    private static final double MIN_FACTOR = 0.8;
    private static final double FACTOR_RANGE = 0.4;

    private Jitter() {}

    /** Returns an interval between 0.8 and 1.2 times the given one; takes one draw. */
    static long apply(long interval, SplittableRandom random) {
        return (long) (interval * (MIN_FACTOR + FACTOR_RANGE * random.nextDouble()));
    }
}
