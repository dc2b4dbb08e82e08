package crankwick.routing.api;

/**
 * What an endpoint reports of itself. Absent figures are {@link AbsentValue#NONE} or NaN.
 *
 * @param position its log position, in microseconds
 * @param role its role in its group
 * @param queueLength requests that wait
 * @param utilization share of busy cores
 * @param inFlight requests in work
 */
public record LoadReport(long position, Role role, double queueLength, double utilization, double inFlight) {}
