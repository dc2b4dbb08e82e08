package crankwick.routing.api;

/**
 * The load and replication state reported by an endpoint. Absent values are {@link AbsentValue#NONE} or NaN.
 *
 * @param position the log position, in microseconds
 * @param role the role of the endpoint in its group
 * @param queueLength the number of queued requests
 * @param utilization the fraction of cores that are busy
 * @param inFlight the number of requests being executed
 */
public record LoadReport(long position, Role role, double queueLength, double utilization, double inFlight) {}
