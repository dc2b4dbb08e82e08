package crankwick.database;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.LoadReport;
import crankwick.routing.api.Role;
import java.util.regex.Pattern;

/**
 * Decodes a load report such as {@code x0=1767225600.123,x1=0}: {@code x0} is the replication position in Unix seconds,
 * {@code x1} is 1 for a primary. The format is the same in every protocol.
 */
public final class LoadReportCodec {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;
    /**
     * The exclusive upper bound of a number; {@link #NUMBER} also excludes signs, infinity and hexadecimal, which Java
     * parses.
     */
    private static final double MAX_NUMBER = 1e14;

    private static final Pattern NUMBER = Pattern.compile("\\d{1,14}(\\.\\d{1,14})?([eE]\\d{1,2})?");

    private LoadReportCodec() {}

    /** Parses a report; null if any part of the text is malformed. Unknown keys with a numeric value are ignored. */
    public static LoadReport parse(String text) {
        long position = AbsentValue.NONE;
        Role role = Role.UNKNOWN;
        double queueLength = Double.NaN;
        double utilization = Double.NaN;
        double inFlight = Double.NaN;
        for (String part : text.split(",", -1)) {
            int equals = part.indexOf('=');
            double value = parseNumber(part.substring(equals + 1));
            if (equals <= 0 || Double.isNaN(value)) {
                return null;
            }
            switch (part.substring(0, equals)) {
                case "x0" -> position = (long) (value * MICROS_PER_SECOND);
                case "x1" -> role = value == 1 ? Role.PRIMARY : Role.REPLICA;
                case "backlog", "queue" -> queueLength = value;
                case "utilization", "util" -> utilization = value;
                case "outstanding", "inflight" -> inFlight = value;
                default -> {}
            }
        }
        return new LoadReport(position, role, queueLength, utilization, inFlight);
    }

    /**
     * Converts a replication position from Unix milliseconds to microseconds; NONE if the text is not a positive
     * number.
     */
    public static long parsePosition(String millis) {
        double value = parseNumber(millis);
        return value > 0 ? (long) (value * MICROS_PER_MILLI) : AbsentValue.NONE;
    }

    /** Converts a database's {@code mode} to its role in its group; UNKNOWN for any other text than the two modes. */
    public static Role parseRole(String mode) {
        return switch (mode) {
            case "read-write" -> Role.PRIMARY;
            case "read-only" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    private static double parseNumber(String text) {
        double value = NUMBER.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        return value < MAX_NUMBER ? value : Double.NaN;
    }
}
