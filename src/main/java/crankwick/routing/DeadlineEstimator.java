package crankwick.routing;

/**
 * How long clients of one class wait at their first try, by a vote of their requests: first tries bring the
 * same time, later ones what is left of it.
 */
final class DeadlineEstimator {
    /** Agreeing requests before the time counts as known, and at most. */
    private static final int MIN_VOTES = 3;

    private static final int MAX_VOTES = 30;

    private final long tolerance;
    private long firstAttemptTimeout;
    private int votes;

    DeadlineEstimator(long tolerance) {
        this.tolerance = tolerance;
    }

    /** Takes a request's patience in; false if it is known to be another than that of first tries. */
    boolean isFirstAttempt(long timeout) {
        boolean agrees = Math.abs(timeout - firstAttemptTimeout) <= tolerance;
        votes = Math.min(MAX_VOTES, votes + (agrees ? 1 : -1));
        if (votes < 0) {
            firstAttemptTimeout = timeout;
            votes = 1;
        }
        return agrees || votes < MIN_VOTES;
    }
}
