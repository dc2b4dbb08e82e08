package crankwick.database;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;

/**
 * What an emulated database answers to a statement or a probe; {@code position} in microseconds.
 *
 * @param result OK, MISS, FULL or ERROR
 * @param value the row's value where the result is OK and this is no probe
 * @param write whether the statement was a write: a miss of one is worded unlike that of a read
 */
public record EmulatedResponse(
        AttemptResult result,
        Role role,
        long position,
        LoadReport report,
        String value,
        boolean healthCheck,
        boolean write) {
    /** The role as databases word it. */
    public String mode() {
        return role == Role.PRIMARY ? "read-write" : "read-only";
    }

    /** The position in Unix milliseconds: a commit's is rounded up, any other down. */
    public long positionMillis() {
        return write && result == AttemptResult.OK
                ? Math.floorDiv(position + 999, 1_000L)
                : Math.floorDiv(position, 1_000L);
    }

    /** The load report, as {@link LoadReportCodec} reads it. */
    public String loadReport() {
        return "x0=" + report.position() / 1_000 / 1e3 + ",x1=" + (role == Role.PRIMARY ? 1 : 0);
    }
}
