package crankwick;

/**
 * How long clients of one class wait at their first try, by a vote of their requests: first tries bring the
 * same time, later ones what is left of it.
 */
final class FirstTryPatience {
    /** Agreeing requests before the time counts as known, and at most. */
    private static final int VOTES_LEAST = 3;

    private static final int VOTES_MOST = 30;

    private final long tolerance;
    private long patience;
    private int votes;

    FirstTryPatience(long tolerance) {
        this.tolerance = tolerance;
    }

    /** Takes a request's patience in; false if it is known to be another than that of first tries. */
    boolean isFirstTry(long asked) {
        boolean agrees = Math.abs(asked - patience) <= tolerance;
        votes = Math.min(VOTES_MOST, votes + (agrees ? 1 : -1));
        if (votes < 0) {
            patience = asked;
            votes = 1;
        }
        return agrees || votes < VOTES_LEAST;
    }
}
