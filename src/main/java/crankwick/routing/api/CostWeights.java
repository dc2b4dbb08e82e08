package crankwick.routing.api;

/** Points lost per crossing of zones, probe, and share of work wasted. */
public record CostWeights(double crossZone, double healthCheck, double wastedWork) {}
