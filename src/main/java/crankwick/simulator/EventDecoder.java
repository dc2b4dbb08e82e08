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
 * Decodes the parts of a line that follow its first word. Events are decoded by the settings of their instance,
 * which are null where that does not run: its lines are still checked.
 */
final class EventDecoder {
    /** Decimal places that turn the wire's milliseconds into microseconds. */
    static final int MILLIS_TO_MICROS = 3;

    private static final int WHOLE_NUMBER = 0;
    private static final long MICROS_PER_MILLI = 1_000;
    /** A load report's numbers are read times this. */
    private static final double REPORT_SCALE = 1e6;

    private static final long REPORTED_PRIMARY = 1_000_000;

    private final LineReader in;

    EventDecoder(LineReader in) {
        this.in = in;
    }

    /** The fields of {@code item}: an endpoint of a list. */
    Endpoint endpoint() {
        String endpointId = in.nextWord();
        int zone = (int) in.nextInteger();
        in.nextWord();
        long groupId = in.nextInteger();
        Role role = in.nextDecimal(WHOLE_NUMBER, 0) == 1 ? Role.PRIMARY : Role.UNKNOWN;
        EndpointStatus status = WireWords.STATUSES.get(in.nextWord());
        if (status == null) {
            throw in.malformed("unknown lifecycle");
        }
        in.nextWord();
        long startedAt = in.isAtLineEnd() ? 0 : in.nextDecimal(MILLIS_TO_MICROS, 0);
        return new Endpoint(endpointId, zone, groupId, role, status, startedAt);
    }

    /** The fields of {@code knock}: a client's request. */
    RoutingRequest request(SettingsCodec settings) {
        long requestId = in.nextRequestId();
        long tokenAge = in.nextDecimal(MILLIS_TO_MICROS, AbsentValue.NONE);
        long groupId = in.nextInteger();
        in.nextWord();
        int classIndex = (int) in.nextInteger();
        in.nextWord();
        in.nextWord();
        long expiresAt = in.nextDecimal(MILLIS_TO_MICROS, 0);
        long sessionId = in.isAtLineEnd() ? AbsentValue.NONE : in.nextDecimal(WHOLE_NUMBER, AbsentValue.NONE);
        if (settings != null && !hasClass(settings, classIndex)) {
            throw in.malformed("unknown class");
        }
        return new RoutingRequest(requestId, classIndex, groupId, sessionId, tokenAge, expiresAt);
    }

    private static boolean hasClass(SettingsCodec settings, int classIndex) {
        return classIndex >= 0
                && classIndex < settings.routingSettings().requestClasses().size();
    }

    /** The fields of {@code outcome}: an attempt's end. */
    AttemptOutcome outcome(SettingsCodec settings) {
        long requestId = in.nextRequestId();
        boolean requestFinished = in.nextBoolean();
        long note = in.nextDecimal(WHOLE_NUMBER, 0);
        AttemptResult result = result();
        long duration = in.nextDecimal(MILLIS_TO_MICROS, 0);
        String endpointId = in.nextWord();
        int attempt = (int) in.nextInteger();
        return new AttemptOutcome(
                requestId,
                attempt,
                requestFinished,
                result,
                duration,
                endpointId,
                WireWords.roleOfNote(note),
                position(note, settings),
                loadReport(settings));
    }

    private static long position(long note, SettingsCodec settings) {
        long millis = WireWords.positionOfNote(note);
        return millis == 0 || settings == null ? AbsentValue.NONE : settings.timeOrigin() + millis * MICROS_PER_MILLI;
    }

    /** The fields of {@code pong}: a health check's end. */
    HealthCheckResult healthCheck(SettingsCodec settings) {
        AttemptResult result = result();
        long duration = in.nextDecimal(MILLIS_TO_MICROS, 0);
        return new HealthCheckResult(in.nextWord(), result, duration, loadReport(settings));
    }

    private AttemptResult result() {
        AttemptResult result = WireWords.RESULTS.get(in.nextWord());
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
