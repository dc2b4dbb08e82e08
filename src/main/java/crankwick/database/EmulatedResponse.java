package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/**
 * The response of an emulated database to a statement or a health check.
 *
 * @param result {@code OK}, {@code INELIGIBLE_REPLICA}, {@code REJECTED_OVERLOADED} or {@code ERROR}
 * @param position the replication position, in microseconds
 * @param value the row's value if the result is {@code OK} and this is not a health check
 * @param write whether the statement was a write: protocols report ineligible writes and reads differently
 */
public record EmulatedResponse(
        AttemptResult result,
        Role role,
        long position,
        LoadReport report,
        String value,
        boolean healthCheck,
        boolean write) {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** The role in the form that databases report. */
    public String mode() {
        return role == Role.PRIMARY ? "read-write" : "read-only";
    }

    /** The replication position in Unix milliseconds: rounded up for a committed write, otherwise down. */
    public long positionMillis() {
        return write && result == AttemptResult.OK
                ? Math.floorDiv(position + MICROS_PER_MILLI - 1, MICROS_PER_MILLI)
                : Math.floorDiv(position, MICROS_PER_MILLI);
    }

    /** The load report in the format that {@link LoadReportCodec} decodes. */
    public String loadReport() {
        return "x0=" + report.position() / MICROS_PER_MILLI / MILLIS_PER_SECOND + ",x1="
                + (role == Role.PRIMARY ? 1 : 0);
    }
}
