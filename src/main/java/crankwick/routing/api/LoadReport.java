package crankwick.routing.api;

/** An endpoint's report of its position, role and load; absent values are NONE or NaN. */
public record LoadReport(long position, Role role, double queueLength, double utilization, double inFlight) {}
