package crankwick.simulator;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.AttemptOutcome;
import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.HealthCheckResult;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import crankwick.routing.api.RoutingRequest;
import crankwick.settings.SettingsCodec;
import java.util.List;

/**
 * Decodes the tokens that follow the message name of a line. Events are decoded with the settings of their instance;
 * the settings are null if the instance is not running, in which case the line's syntax is still checked.
 */
final class EventDecoder {
    /** A time in milliseconds that is read with this many decimal places yields microseconds. */
    static final int MILLIS_DECIMAL_PLACES = 3;

    private static final int INTEGER_DECIMAL_PLACES = 0;
    private static final long MICROS_PER_MILLI = 1_000;
    /** The factor by which {@link LineReader#nextRow} scales the values of a load report. */
    private static final double REPORT_SCALE = 1e6;

    /** The scaled value 1 of the role field: the database is a primary. */
    private static final long REPORTED_PRIMARY = 1_000_000;

    private final LineReader in;

    EventDecoder(LineReader in) {
        this.in = in;
    }

    /** Decodes {@code item}, an endpoint of a list. */
    Endpoint endpoint() {
        String endpointId = in.nextToken();
        int zone = (int) in.nextInteger();
        in.nextToken();
        long groupId = in.nextInteger();
        Role role = in.nextDecimal(INTEGER_DECIMAL_PLACES, 0) == 1 ? Role.PRIMARY : Role.UNKNOWN;
        EndpointStatus status = WireValues.STATUSES.get(in.nextToken());
        if (status == null) {
            throw in.malformed("unknown lifecycle");
        }
        in.nextToken();
        long startedAt = in.isAtLineEnd() ? 0 : in.nextDecimal(MILLIS_DECIMAL_PLACES, 0);
        return new Endpoint(endpointId, zone, groupId, role, status, startedAt);
    }

    /** Decodes {@code knock}, a client's request. */
    RoutingRequest request(SettingsCodec settings) {
        long requestId = in.nextRequestId();
        long tokenAge = in.nextDecimal(MILLIS_DECIMAL_PLACES, AbsentValue.NONE);
        long groupId = in.nextInteger();
        in.nextToken();
        int classIndex = (int) in.nextInteger();
        in.nextToken();
        in.nextToken();
        long expiresAt = in.nextDecimal(MILLIS_DECIMAL_PLACES, 0);
        long sessionId = in.isAtLineEnd() ? AbsentValue.NONE : in.nextDecimal(INTEGER_DECIMAL_PLACES, AbsentValue.NONE);
        if (settings != null && !hasClass(settings, classIndex)) {
            throw in.malformed("unknown class");
        }
        return new RoutingRequest(requestId, classIndex, groupId, sessionId, tokenAge, expiresAt);
    }

    private static boolean hasClass(SettingsCodec settings, int classIndex) {
        return classIndex >= 0
                && classIndex < settings.routingSettings().requestClasses().size();
    }

    /** Decodes {@code outcome}, the end of an attempt. */
    AttemptOutcome outcome(SettingsCodec settings) {
        long requestId = in.nextRequestId();
        boolean requestFinished = in.nextBoolean();
        long roleAndPosition = in.nextDecimal(INTEGER_DECIMAL_PLACES, 0);
        AttemptResult result = result();
        long duration = in.nextDecimal(MILLIS_DECIMAL_PLACES, 0);
        String endpointId = in.nextToken();
        int attempt = (int) in.nextInteger();
        return new AttemptOutcome(
                requestId,
                attempt,
                requestFinished,
                result,
                duration,
                endpointId,
                WireValues.decodeRole(roleAndPosition),
                position(roleAndPosition, settings),
                loadReport(settings));
    }

    private static long position(long roleAndPosition, SettingsCodec settings) {
        long millis = WireValues.decodePositionMillis(roleAndPosition);
        return millis == 0 || settings == null ? AbsentValue.NONE : settings.timeOrigin() + millis * MICROS_PER_MILLI;
    }

    /** Decodes {@code pong}, the end of a health check. */
    HealthCheckResult healthCheck(SettingsCodec settings) {
        AttemptResult result = result();
        long duration = in.nextDecimal(MILLIS_DECIMAL_PLACES, 0);
        return new HealthCheckResult(in.nextToken(), result, duration, loadReport(settings));
    }

    private AttemptResult result() {
        AttemptResult result = WireValues.RESULTS.get(in.nextToken());
        if (result == null) {
            throw in.malformed("unknown result");
        }
        return result;
    }

    private LoadReport loadReport(SettingsCodec settings) {
        long[] row = in.isAtLineEnd() ? null : in.nextRow();
        if (row == null || settings == null) {
            return null;
        }
        long position = AbsentValue.NONE;
        Role role = Role.UNKNOWN;
        double backlog = Double.NaN;
        double utilization = Double.NaN;
        double inFlight = Double.NaN;
        List<String> fields = settings.reportFields();
        for (int i = 0; i < Math.min(row.length, fields.size()); i++) {
            if (row[i] == LineReader.ABSENT_FIELD) {
                continue;
            }
            switch (fields.get(i)) {
                case "x0" -> position = settings.timeOrigin() + row[i];
                case "x1" -> role = row[i] == REPORTED_PRIMARY ? Role.PRIMARY : Role.REPLICA;
                case "backlog" -> backlog = row[i] / REPORT_SCALE;
                case "utilization" -> utilization = row[i] / REPORT_SCALE;
                case "outstanding" -> inFlight = row[i] / REPORT_SCALE;
                default -> {}
            }
        }
        return new LoadReport(position, role, backlog, utilization, inFlight);
    }
}
