package crankwick.simulation;

/** Units of simulated time, in microseconds. */
final class TimeUnits {
    static final long MILLIS = 1_000;
    static final long SECONDS = 1_000 * MILLIS;

    private TimeUnits() {}
}
