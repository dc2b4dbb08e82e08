package crankwick.routing.api;

/** What a server says of itself, as old as the report; absent figures are NONE or NaN. */
public record LoadReport(long position, Role role, double queueLength, double utilization, double inFlight) {}
