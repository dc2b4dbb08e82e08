package crankwick.simulation;

/** Violations that the audit detects, in the order of the report. */
enum Violation {
    APPLIED_TWICE("applied_twice"),
    SERVED_NOT_APPLIED("served_not_applied"),
    CONCURRENT_ATTEMPTS("second_attempts"),
    RETRIED_AFTER_KEY_TTL("window_resends"),
    MISDIRECTED_WRITE("misdirected"),
    REJECTED_IN_DOUBT("refused_in_doubt"),
    LATE_REPLY("answers_late"),
    MISSING_REPLY("answers_missing"),
    SENT_AFTER_DRAIN_GRACE("drain_violations"),
    RELEASE_LIMIT_EXCEEDED("pace_violations"),
    MEMBER_COLLAPSED("fallen");

    private final String figure;

    Violation(String figure) {
        this.figure = figure;
    }

    /** The name in the figures of a run. */
    String figure() {
        return figure;
    }
}
