package crankwick.routing;

import static crankwick.routing.TimeUnits.MICROS_PER_SECOND;

import crankwick.routing.api.LoadReport;

/** What this proxy sends to all endpoints, and how busy these are on the whole. */
final class FleetActivity {
    /** Time constant of the count of attempts. */
    static final long SEND_RATE_WINDOW_MICROS = 5 * MICROS_PER_SECOND;

    private static final double UTILIZATION_GAIN = 0.05;
    private static final double MIN_UTILIZATION = 0.4;

    private final DecayingCount attempts = new DecayingCount(SEND_RATE_WINDOW_MICROS);
    private double utilization = 1;
    private boolean endpointsReportLoad;

    /** Whether health checks can tell how busy an endpoint is. */
    boolean endpointsReportLoad() {
        return endpointsReportLoad;
    }

    void recordAttempt(long now) {
        attempts.add(now);
    }

    void recordReport(LoadReport report) {
        endpointsReportLoad |= ReportedLoad.includesLoad(report);
    }

    /** Records the utilization of an endpoint at its full capacity. */
    void recordUtilization(double reported) {
        utilization += UTILIZATION_GAIN * (reported - utilization);
    }

    /** The attempts within the last {@link #SEND_RATE_WINDOW_MICROS}, about. */
    double recentAttempts(long now) {
        return attempts.at(now);
    }

    /** This proxy's part of an endpoint's capacity, in attempts per second, with so many endpoints sharing. */
    double capacityPerEndpoint(long warmEndpoints, long now) {
        return attempts.at(now)
                * MICROS_PER_SECOND
                / SEND_RATE_WINDOW_MICROS
                / warmEndpoints
                / Math.max(MIN_UTILIZATION, utilization);
    }
}
