package crankwick.routing;

/** Health checks have a cost, so they are earned by requests; some may be saved up. */
final class HealthCheckBudget {
    private static final double MAX_SAVED_CHECKS = 40;
    private static final double MAX_CHECKS_PER_REQUEST = 1;
    /** Points that may be spent on health checks for each request. */
    private static final double POINTS_PER_REQUEST = 0.03;
    /** The cost, in points per check, at which the intervals between health checks are as stated. */
    private static final double REFERENCE_COST = 0.02;

    private static final double MIN_COST = 1e-9;

    private final double checksPerRequest;
    private final double costFactor;
    private double available = MAX_SAVED_CHECKS;

    /** Creates a full budget for health checks of the given cost in points. */
    HealthCheckBudget(double cost) {
        checksPerRequest = Math.min(MAX_CHECKS_PER_REQUEST, POINTS_PER_REQUEST / Math.max(MIN_COST, cost));
        costFactor = Math.max(1, cost / REFERENCE_COST);
    }

    /** How many times the reference cost a health check costs; 1 at least. */
    double costFactor() {
        return costFactor;
    }

    void earnForRequest() {
        available = Math.min(MAX_SAVED_CHECKS, available + checksPerRequest);
    }

    boolean isExhausted() {
        return available < 1;
    }

    void spend() {
        available--;
    }
}
