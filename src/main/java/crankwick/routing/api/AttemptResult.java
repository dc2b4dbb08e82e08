package crankwick.routing.api;

/**
 * How an attempt or a probe ended. DROPPED: its connection was not refused, but broke before the last
 * byte was written. STALE: one kept from earlier work broke at once under it; it tells of that alone.
 */
public enum AttemptResult {
    OK(false),
    ERROR(false),
    REJECTED_OVERLOADED(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    CONNECTION_LOST_BEFORE_SEND(true),
    RESET(false),
    STALE_CONNECTION(false),
    CANCELLED(false),
    NOT_SENT(true),
    INELIGIBLE_REPLICA(true);

    private final boolean provesNotExecuted;

    AttemptResult(boolean provesNotRun) {
        this.provesNotExecuted = provesNotRun;
    }

    /** True if the attempt is known not to have run. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
