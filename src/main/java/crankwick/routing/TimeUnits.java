package crankwick.routing;

/** Units and sentinel values of router times, which are in microseconds on the caller's clock. */
final class TimeUnits {
    static final long MICROS_PER_MILLI = 1_000;
    static final long MICROS_PER_SECOND = 1_000 * MICROS_PER_MILLI;
    /** The time of an event that has not happened; halved so that time differences do not overflow. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private TimeUnits() {}
}
