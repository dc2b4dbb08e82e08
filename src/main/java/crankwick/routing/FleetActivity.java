package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.LoadReport;

/** This proxy's rate of attempts to all endpoints, and the mean utilization that warm endpoints report. */
final class FleetActivity {
    /** Time constant of the decaying count of this proxy's attempts to all endpoints. */
    static final long SEND_RATE_WINDOW_MICROS = 5 * MICROS_PER_SECOND;

    private static final double UTILIZATION_GAIN = 0.05;
    private static final double MIN_UTILIZATION = 0.4;

    private final DecayingCount attempts = new DecayingCount(SEND_RATE_WINDOW_MICROS);
    private double utilization = 1;
    private boolean endpointsReportLoad;

    /** Returns whether any load report so far has included a queue length, requests in flight or a utilization. */
    boolean endpointsReportLoad() {
        return endpointsReportLoad;
    }

    void recordAttempt(long now) {
        attempts.add(now);
    }

    void recordReport(LoadReport report) {
        endpointsReportLoad |= ReportedLoad.includesLoad(report);
    }

    /** Records the reported utilization of an endpoint that has its full capacity. */
    void recordUtilization(double reported) {
        utilization += UTILIZATION_GAIN * (reported - utilization);
    }

    /** Returns the approximate number of attempts within the last {@link #SEND_RATE_WINDOW_MICROS}. */
    double recentAttempts(long now) {
        return attempts.at(now);
    }

    /** Returns the estimate of this proxy's share of the capacity of one warm endpoint, in attempts per second. */
    double capacityPerEndpoint(long warmEndpoints, long now) {
        return attempts.at(now)
                * MICROS_PER_SECOND
                / SEND_RATE_WINDOW_MICROS
                / warmEndpoints
                / Math.max(MIN_UTILIZATION, utilization);
    }
}
