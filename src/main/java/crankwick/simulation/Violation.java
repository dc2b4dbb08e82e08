package crankwick.simulation;

/** What must not happen in a run, in the order in which it is reported. */
enum Violation {
    APPLIED_TWICE("applied_twice"),
    SERVED_NOT_APPLIED("served_not_applied"),
    CONCURRENT_ATTEMPTS("second_attempts"),
    RETRIED_AFTER_KEY_TTL("window_resends"),
    MISDIRECTED_WRITE("misdirected"),
    REJECTED_IN_DOUBT("refused_in_doubt"),
    LATE_REPLY("answers_late"),
    MISSING_REPLY("answers_missing"),
    SENT_TO_DRAINED("drain_violations"),
    RELEASED_TOO_MANY("pace_violations"),
    MEMBER_COLLAPSED("fallen");

    private final String figure;

    Violation(String figure) {
        this.figure = figure;
    }

    /** Its name in the figures of a run. */
    String figure() {
        return figure;
    }
}
