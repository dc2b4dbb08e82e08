package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_MILLI;
import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;
import static crankwick.routing.TimeUnits.NEVER;

import crankwick.routing.api.LoadReport;

/** The load of one endpoint by its last report, which counts the work of all proxies. */
final class ReportedLoad {
    private static final long RECENT_REPORT_MICROS = 300 * MICROS_PER_MILLI;
    /** The report's influence on the expected latency fades over this time. */
    private static final long REPORT_DECAY_MICROS = MICROS_PER_SECOND;
    /** Requests that an endpoint executes in parallel. */
    private static final double PARALLEL_REQUESTS = 3;
    /** Typical durations that each queued request adds to a response. */
    private static final double LATENCY_PER_QUEUED_REQUEST = 2.5 / PARALLEL_REQUESTS;

    private double queueLength;
    private double utilization;
    private long reportedAt = NEVER;

    /** Whether a report tells how busy its endpoint is. */
    static boolean includesLoad(LoadReport report) {
        return !Double.isNaN(queued(report)) || !Double.isNaN(report.utilization());
    }

    private static double queued(LoadReport report) {
        return Double.isNaN(report.queueLength()) ? report.inFlight() - PARALLEL_REQUESTS : report.queueLength();
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

    /** Whether a recent report shows no queue and a utilization below the given one. */
    boolean isIdle(double maxUtilization, long now) {
        return isRecent(now) && queueLength == 0 && utilization < maxUtilization;
    }

    /** What the reported load adds to the latency of an idle endpoint, in typical durations. */
    double addedLatency(long now) {
        double added = utilization * utilization * utilization + queueLength * LATENCY_PER_QUEUED_REQUEST;
        return DecayingMean.remainingWeight(reportedAt, REPORT_DECAY_MICROS, now) * added;
    }
}
