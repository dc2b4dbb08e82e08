package crankwick.failover;

import java.util.Arrays;

/**
 * The distribution of the durations of a group's planned or unplanned failovers: the last {@value #MAX_SAMPLES}
 * observed durations, and a prior of {@value #PRIOR_SAMPLES} samples spread evenly over the range in the settings.
 * Durations in microseconds.
 */
final class FailoverDurations {
    private static final int MAX_SAMPLES = 64;
    private static final int PRIOR_SAMPLES = 16;
    /** Each sample covers the durations within this distance, so that a small number of samples leaves no gaps. */
    private static final long SAMPLE_SPREAD_MICROS = 250_000;

    private final long[] samples = new long[PRIOR_SAMPLES + MAX_SAMPLES];
    private long observedCount;

    FailoverDurations(long min, long max) {
        for (int i = 0; i < PRIOR_SAMPLES; i++) {
            samples[i] = min + (max - min) * i / (PRIOR_SAMPLES - 1);
        }
    }

    /** Adds the duration of a completed failover. */
    void add(long duration) {
        samples[PRIOR_SAMPLES + (int) (observedCount++ % MAX_SAMPLES)] = duration;
    }

    private int count() {
        return PRIOR_SAMPLES + (int) Math.min(observedCount, MAX_SAMPLES);
    }

    /**
     * Returns the probability that a failover that has lasted for {@code age} ends within the next {@code remaining}. A
     * failover that is longer than all samples is expected to continue for about as long as it has lasted so far
     * (Gott's estimate).
     */
    double successProbability(long age, long remaining) {
        if (remaining <= 0) {
            return 0;
        }
        double remainingWeight = 0;
        double endedInTimeWeight = 0;
        for (int i = 0; i < count(); i++) {
            double from = Math.max(age, samples[i] - SAMPLE_SPREAD_MICROS);
            double to = samples[i] + SAMPLE_SPREAD_MICROS;
            remainingWeight += Math.max(0, to - from);
            endedInTimeWeight += Math.max(0, Math.min(to, age + remaining) - from);
        }
        return remainingWeight == 0
                ? remaining / (double) (Math.max(age, 1) + remaining)
                : endedInTimeWeight / remainingWeight;
    }

    /**
     * Returns the median remaining duration of a failover that has lasted for {@code age}; {@code age} itself if all
     * samples are shorter.
     */
    long medianRemaining(long age) {
        long[] longer =
                Arrays.stream(samples, 0, count()).filter(s -> s > age).sorted().toArray();
        return longer.length == 0 ? age : longer[longer.length / 2] - age;
    }
}
