package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/**
 * The response of an emulated database to a statement or a health check; {@code position} in microseconds.
 *
 * @param result {@code OK}, {@code INELIGIBLE_REPLICA}, {@code REJECTED_OVERLOADED} or {@code ERROR}
 * @param value the row's value where the result is OK and this is no health check
 * @param write whether the statement was a write: protocols word an ineligible one unlike that of a read
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

    /** The role as databases word it. */
    public String mode() {
        return role == Role.PRIMARY ? "read-write" : "read-only";
    }

    /** The position in Unix milliseconds: a commit's is rounded up, any other down. */
    public long positionMillis() {
        return write && result == AttemptResult.OK
                ? Math.floorDiv(position + MICROS_PER_MILLI - 1, MICROS_PER_MILLI)
                : Math.floorDiv(position, MICROS_PER_MILLI);
    }

    /** The load report, as {@link LoadReportCodec} decodes it. */
    public String loadReport() {
        return "x0=" + report.position() / MICROS_PER_MILLI / MILLIS_PER_SECOND + ",x1="
                + (role == Role.PRIMARY ? 1 : 0);
    }
}
