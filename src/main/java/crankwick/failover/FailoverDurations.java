package crankwick.failover;

import java.util.Arrays;

/**
 * How long a group's failovers of one kind take: the last {@value #MAX_SAMPLES} observed, and a prior that counts as
 * {@value #PRIOR_SAMPLES} of them, spread evenly over what the settings expect. Durations in microseconds.
 */
final class FailoverDurations {
    private static final int MAX_SAMPLES = 64;
    private static final int PRIOR_SAMPLES = 16;
    /** Each sample stands for all durations that are so near: few samples must not leave gaps between them. */
    private static final long SAMPLE_SPREAD_MICROS = 250_000;

    private final long[] samples = new long[PRIOR_SAMPLES + MAX_SAMPLES];
    private long observed;

    FailoverDurations(long min, long max) {
        for (int i = 0; i < PRIOR_SAMPLES; i++) {
            samples[i] = min + (max - min) * i / (PRIOR_SAMPLES - 1);
        }
    }

    /** A failover has taken so long. */
    void add(long duration) {
        samples[PRIOR_SAMPLES + (int) (observed++ % MAX_SAMPLES)] = duration;
    }

    private int count() {
        return PRIOR_SAMPLES + (int) Math.min(observed, MAX_SAMPLES);
    }

    /**
     * The probability that a failover which has lasted for {@code age} ends within {@code remaining} more. One that
     * has outlasted all samples is expected to go on about as long as it has lasted (Gott's estimate).
     */
    double successProbability(long age, long remaining) {
        if (remaining <= 0) {
            return 0;
        }
        double longer = 0;
        double endedInTime = 0;
        for (int i = 0; i < count(); i++) {
            double from = Math.max(age, samples[i] - SAMPLE_SPREAD_MICROS);
            double to = samples[i] + SAMPLE_SPREAD_MICROS;
            longer += Math.max(0, to - from);
            endedInTime += Math.max(0, Math.min(to, age + remaining) - from);
        }
        return longer == 0 ? remaining / (double) (Math.max(age, 1) + remaining) : endedInTime / longer;
    }

    /** The median of the time that a failover which has lasted for {@code age} still takes. */
    long remaining(long age) {
        long[] longer =
                Arrays.stream(samples, 0, count()).filter(s -> s > age).sorted().toArray();
        return longer.length == 0 ? age : longer[longer.length / 2] - age;
    }
}
