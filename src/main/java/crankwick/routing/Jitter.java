package crankwick.routing;

import java.util.SplittableRandom;

/** Randomizes intervals so that many proxies do not act simultaneously. */
final class Jitter {
    private static final double MIN_FACTOR = 0.8;
    private static final double FACTOR_RANGE = 0.4;

    private Jitter() {}

    /** Returns the interval times a random factor from 0.8 to 1.2; consumes one random number. */
    static long apply(long interval, SplittableRandom random) {
        return (long) (interval * (MIN_FACTOR + FACTOR_RANGE * random.nextDouble()));
    }
}
