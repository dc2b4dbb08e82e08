package crankwick.routing.api;

/**
 * The cost weights by which routing is scored.
 *
 * @param crossZone the cost of a request sent to an endpoint in another zone
 * @param healthCheck the cost of a health check
 * @param wastedWork the cost of the share of endpoint work that produced no useful response
 */
public record CostWeights(double crossZone, double healthCheck, double wastedWork) {}
