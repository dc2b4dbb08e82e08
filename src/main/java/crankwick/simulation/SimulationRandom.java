package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import java.util.SplittableRandom;

/** Random numbers of one run; the same seed gives the same sequence. */
final class SimulationRandom {
    private static final int SLOW_TRANSFERS_PER_TEN_THOUSAND = 100;

    private final SplittableRandom random;

    SimulationRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    long nextSeed() {
        return random.nextLong();
    }

    /** Uniform from {@code min} inclusive to {@code max} exclusive. */
    long between(long min, long max) {
        return min + random.nextLong(max - min);
    }

    boolean chance(int perTenThousand) {
        return random.nextInt(10_000) < perTenThousand;
    }

    boolean nextBoolean() {
        return random.nextBoolean();
    }

    /** Uniform from 0 to 99, inclusive. */
    int nextPercent() {
        return random.nextInt(100);
    }

    /** Uniform from 0 inclusive to 1 exclusive. */
    double nextFraction() {
        return random.nextDouble();
    }

    /** Exponentially distributed time between independent events, with the given mean. */
    long exponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** One-way network delay in microseconds: 0.1 to 0.5 ms; 1 to 20 ms for 1 % of transfers. */
    long networkDelay() {
        return chance(SLOW_TRANSFERS_PER_TEN_THOUSAND) ? between(MILLIS, 20 * MILLIS) : between(100, 500);
    }
}
