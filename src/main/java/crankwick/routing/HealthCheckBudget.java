package crankwick.routing;

/**
 * The budget for health checks, which have a cost. The balance is a number of health checks: each request adds to it,
 * each health check takes 1 from it.
 */
final class HealthCheckBudget {
    private static final double MAX_CHECK_BALANCE = 40;
    private static final double MAX_CHECKS_PER_REQUEST = 1;
    /**
     * The cost of health checks, in points, that each request adds to the budget; at most one health check per request
     * is added.
     */
    private static final double COST_PER_REQUEST = 0.03;
    /** The cost of a health check, in points, up to which the intervals between health checks are not extended. */
    private static final double REFERENCE_COST = 0.02;

    private static final double MIN_COST = 1e-9;

    private final double checksPerRequest;
    private final double costFactor;
    private double balance = MAX_CHECK_BALANCE;

    /** Creates a budget with the maximum balance, for health checks that cost {@code cost} points each. */
    HealthCheckBudget(double cost) {
        checksPerRequest = Math.min(MAX_CHECKS_PER_REQUEST, COST_PER_REQUEST / Math.max(MIN_COST, cost));
        costFactor = Math.max(1, cost / REFERENCE_COST);
    }

    /** The cost of a health check as a multiple of the reference cost; at least 1. */
    double costFactor() {
        return costFactor;
    }

    void depositForRequest() {
        balance = Math.min(MAX_CHECK_BALANCE, balance + checksPerRequest);
    }

    boolean isExhausted() {
        return balance < 1;
    }

    void withdraw() {
        balance--;
    }
}
