package crankwick.broker;

/** A team's use of its contract: a token bucket for the request rate, and the number of outstanding requests. */
final class TeamBudget {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Contract contract;
    private double tokens;
    private long refilledAt;
    private int outstanding;

    /** Creates a budget with a full token bucket. */
    TeamBudget(Contract contract, long now) {
        this.contract = contract;
        tokens = bucketSize();
        refilledAt = now;
    }

    private double bucketSize() {
        return Math.max(1, contract.ratePerSecond());
    }

    boolean isOutstandingLimitReached() {
        return contract.maxOutstanding() > 0 && outstanding >= contract.maxOutstanding();
    }

    /** Takes a token; false if none is available. Always true if the contract has no rate limit. */
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

    /**
     * The time until the next token is available, in microseconds; valid only directly after {@link #tryAcquireToken}
     * returned false.
     */
    long timeUntilNextToken() {
        return (long) Math.ceil((1 - tokens) * MICROS_PER_SECOND / contract.ratePerSecond());
    }

    /** Counts an admitted request as outstanding. */
    void acquireOutstanding() {
        outstanding++;
    }

    /** Stops counting a request as outstanding, once it has been replied to or abandoned. */
    void releaseOutstanding() {
        outstanding--;
    }
}
