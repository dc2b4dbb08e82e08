package crankwick.routing;

/**
 * Estimates the timeout that clients of one class set on first attempts, by a majority vote over their requests.
 * All first attempts carry the same timeout, whereas client retries carry the remainder of it.
 */
final class ClientTimeoutEstimator {
    /** Number of votes at which the timeout counts as known. */
    private static final int MIN_VOTES = 3;

    private static final int MAX_VOTES = 30;

    private final long tolerance;
    private long firstAttemptTimeout;
    private int votes;

    ClientTimeoutEstimator(long tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Records a request's timeout; returns false if the first-attempt timeout is known and differs from this one by
     * more than the tolerance.
     */
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
