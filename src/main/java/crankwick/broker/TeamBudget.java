package crankwick.broker;

/** What a team has used of its contract: a token bucket for its rate, and its outstanding requests. */
final class TeamBudget {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Contract contract;
    private double tokens;
    private long refilledAt;
    private int outstanding;

    /** Begins with a full bucket. */
    TeamBudget(Contract contract, long now) {
        this.contract = contract;
        tokens = bucketSize();
        refilledAt = now;
    }

    private double bucketSize() {
        return Math.max(1, contract.ratePerSecond());
    }

    boolean isOutstandingExhausted() {
        return contract.maxOutstanding() > 0 && outstanding >= contract.maxOutstanding();
    }

    /** Takes a token; false if none is left. A contract without a rate needs none. */
    boolean tryAcquireToken(long now) {
        double rate = contract.ratePerSecond();
        if (rate > 0) {
            tokens = Math.min(bucketSize(), tokens + rate * (now - refilledAt) / MICROS_PER_SECOND);
            refilledAt = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
        }
        return true;
    }

    /** How long it takes until a token is left, in microseconds, after one was refused. */
    long timeUntilToken() {
        return (long) Math.ceil((1 - tokens) * MICROS_PER_SECOND / contract.ratePerSecond());
    }

    /** A request is taken in. */
    void acquireOutstanding() {
        outstanding++;
    }

    /** A request has been answered, or its caller has left. */
    void releaseOutstanding() {
        outstanding--;
    }
}
