package crankwick.routing.api;

/** The values that stand for an absent figure in records of primitive fields; an absent double is NaN. */
public final class AbsentValue {
    /** An absent time, position, duration, identifier or key. */
    public static final long NONE = -1;

    private AbsentValue() {}
}
