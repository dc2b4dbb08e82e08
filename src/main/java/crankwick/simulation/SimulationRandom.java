package crankwick.simulation;

import java.util.SplittableRandom;

/** The draws of one run: the same seed gives the same ones, in the order in which they are asked for. */
final class SimulationRandom {
    private static final long MS = 1_000;
    /** In ten thousand: ways over the network that take long. */
    private static final int SLOW_WAYS = 100;

    private final SplittableRandom random;

    SimulationRandom(long seed) {
        random = new SplittableRandom(seed);
    }

    long seed() {
        return random.nextLong();
    }

    long between(long least, long most) {
        return least + random.nextLong(most - least);
    }

    boolean chance(int inTenThousand) {
        return random.nextInt(10_000) < inTenThousand;
    }

    boolean flip() {
        return random.nextBoolean();
    }

    int percent() {
        return random.nextInt(100);
    }

    double share() {
        return random.nextDouble();
    }

    /** A time between events that come independently, of the given mean. */
    long exponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** One way over the network: mostly under half a millisecond, now and then some twenty. */
    long way() {
        return chance(SLOW_WAYS) ? between(MS, 20 * MS) : between(100, 500);
    }
}
