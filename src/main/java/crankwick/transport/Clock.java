package crankwick.transport;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Microseconds of Unix time on a clock that only goes forward: it reads the wall once, at its start. */
public final class Clock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startedAtMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long startedAtNanos = System.nanoTime();

    /** The time now. */
    public long now() {
        return startedAtMicros + (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO;
    }
}
