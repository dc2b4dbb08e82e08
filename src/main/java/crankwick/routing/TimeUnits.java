package crankwick.routing;

/** Units and special values of the router's times, which are microseconds on the caller's clock. */
final class TimeUnits {
    static final long MICROS_PER_MILLI = 1_000;
    static final long MICROS_PER_SECOND = 1_000 * MICROS_PER_MILLI;
    /** The time of an event that has never happened; far from overflow in differences. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private TimeUnits() {}
}
