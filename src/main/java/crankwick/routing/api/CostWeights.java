package crankwick.routing.api;

/**
 * What the settings charge.
 *
 * @param crossZone for a request that crosses zones
 * @param healthCheck for a health check
 * @param wastedWork for the share of work that earned nothing
 */
public record CostWeights(double crossZone, double healthCheck, double wastedWork) {}
