package crankwick.failover;

import java.util.Arrays;

/**
 * How long a group's changes of one kind take: the last {@value #KEPT} seen, and a prior that counts as
 * {@value #PRIOR} of them, spread evenly over what the settings expect. Durations in microseconds.
 */
final class FailoverDurations {
    private static final int KEPT = 64;
    private static final int PRIOR = 16;
    /** Each duration stands for all that are so near: few samples must not leave holes between them. */
    private static final long BLUR = 250_000;

    private final long[] samples = new long[PRIOR + KEPT];
    private long seen;

    FailoverDurations(long least, long most) {
        for (int i = 0; i < PRIOR; i++) {
            samples[i] = least + (most - least) * i / (PRIOR - 1);
        }
    }

    /** A change has taken so long. */
    void add(long duration) {
        samples[PRIOR + (int) (seen++ % KEPT)] = duration;
    }

    private int count() {
        return PRIOR + (int) Math.min(seen, KEPT);
    }

    /**
     * The chance that a change which has lasted for {@code age} ends within {@code left} more. One that has
     * outlasted all that were seen is taken to go on about as long as it has lasted (Gott's estimate).
     */
    double successProbability(long age, long left) {
        if (left <= 0) {
            return 0;
        }
        double longer = 0;
        double inTime = 0;
        for (int i = 0; i < count(); i++) {
            double from = Math.max(age, samples[i] - BLUR);
            double to = samples[i] + BLUR;
            longer += Math.max(0, to - from);
            inTime += Math.max(0, Math.min(to, age + left) - from);
        }
        return longer == 0 ? left / (double) (Math.max(age, 1) + left) : inTime / longer;
    }

    /** The median of what a change that has lasted for {@code age} goes on for. */
    long remaining(long age) {
        long[] longer =
                Arrays.stream(samples, 0, count()).filter(s -> s > age).sorted().toArray();
        return longer.length == 0 ? age : longer[longer.length / 2] - age;
    }
}
