package crankwick.routing.api;

/** Sentinel for absent values in primitive {@code long} fields. An absent {@code double} is NaN. */
public final class AbsentValue {
    /** Marks an absent time, position, duration, identifier or key. */
    public static final long NONE = -1;

    private AbsentValue() {}
}
