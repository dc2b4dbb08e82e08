package crankwick.transport;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** A monotonic clock in microseconds of Unix time: the wall clock is read only once, at creation. */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startedAtMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long startedAtNanos = System.nanoTime();

    /** The current time. */
    public long now() {
        return startedAtMicros + (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO;
    }
}
