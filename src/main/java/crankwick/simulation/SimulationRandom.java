package crankwick.simulation;

import static crankwick.simulation.TimeUnits.MILLIS;

import java.util.SplittableRandom;

/** The draws of one run: the same seed gives the same ones, in the order in which they are asked for. */
final class SimulationRandom {
    private static final int SLOW_TRANSFERS_PER_TEN_THOUSAND = 100;

    private final SplittableRandom random;

    SimulationRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    long nextSeed() {
        return random.nextLong();
    }

    /** Uniform from {@code min} up to, and without, {@code max}. */
    long between(long min, long max) {
        return min + random.nextLong(max - min);
    }

    boolean chance(int perTenThousand) {
        return random.nextInt(10_000) < perTenThousand;
    }

    boolean nextBoolean() {
        return random.nextBoolean();
    }

    /** Uniform from 0 to 99. */
    int nextPercent() {
        return random.nextInt(100);
    }

    /** Uniform from 0 to 1, without 1. */
    double nextShare() {
        return random.nextDouble();
    }

    /** A time between events that come independently, of the given mean. */
    long exponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** One way over the network: mostly under half a millisecond, now and then some twenty. */
    long networkDelay() {
        return chance(SLOW_TRANSFERS_PER_TEN_THOUSAND) ? between(MILLIS, 20 * MILLIS) : between(100, 500);
    }
}
