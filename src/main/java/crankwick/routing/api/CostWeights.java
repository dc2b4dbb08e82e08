package crankwick.routing.api;

/** The cost, in points, of a request across zones, a health check, and a fraction of wasted work. */
public record CostWeights(double crossZone, double healthCheck, double wastedWork) {}
