package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.LoadReport;

/**
 * The load of one endpoint according to its last load report, which covers the requests of all proxies. A value that
 * the report does not include counts as 0.
 */
final class ReportedLoad {
    private static final long RECENT_REPORT_MICROS = 300 * MICROS_PER_MILLI;
    /** The effect of a report on the expected latency decays linearly to zero over this time. */
    private static final long REPORT_DECAY_MICROS = MICROS_PER_SECOND;
    /** Number of requests that an endpoint is assumed to execute in parallel at most. */
    private static final double ASSUMED_PARALLEL_REQUESTS = 3;
    /** Latency added by each queued request, in typical durations. */
    private static final double LATENCY_PER_QUEUED_REQUEST = 2.5 / ASSUMED_PARALLEL_REQUESTS;

    private double queueLength;
    private double utilization;
    private long reportedAt = NEVER;

    /** Returns whether the report includes the queue length, requests in flight or utilization. */
    static boolean includesLoad(LoadReport report) {
        return !Double.isNaN(queued(report)) || !Double.isNaN(report.utilization());
    }

    private static double queued(LoadReport report) {
        return Double.isNaN(report.queueLength())
                ? report.inFlight() - ASSUMED_PARALLEL_REQUESTS
                : report.queueLength();
    }

    void update(LoadReport report, long now) {
        double queued = queued(report);
        utilization = Double.isNaN(report.utilization()) ? 0 : report.utilization();
        queueLength = Double.isNaN(queued) ? 0 : Math.max(0, queued);
        reportedAt = now;
    }

    double utilization() {
        return utilization;
    }

    boolean isRecent(long now) {
        return now - reportedAt <= RECENT_REPORT_MICROS;
    }

    /** Returns whether a recent report shows an empty queue and a utilization below {@code maxUtilization}. */
    boolean isIdle(double maxUtilization, long now) {
        return isRecent(now) && queueLength == 0 && utilization < maxUtilization;
    }

    /** Returns the latency that the reported load adds to that of an idle endpoint, in typical durations. */
    double addedLatency(long now) {
        double added = utilization * utilization * utilization + queueLength * LATENCY_PER_QUEUED_REQUEST;
        return DecayingMean.remainingWeight(reportedAt, REPORT_DECAY_MICROS, now) * added;
    }
}
