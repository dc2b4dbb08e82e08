package crankwick.net;

import crankwick.RouterApi.Report;
import crankwick.RouterApi.Role;
import crankwick.RouterApi;

/** Reads a load report, {@code x0=1767225600.123,x1=0}, which is worded alike on every wire. */
public final class ReportCodec {
    private ReportCodec() {
    }

    /** The report, or null if the text is none. */
    public static Report parse(String text) {
        long position = RouterApi.NONE;
        Role role = Role.UNKNOWN;
        double backlog = Double.NaN;
        double utilization = Double.NaN;
        double inFlight = Double.NaN;
        boolean any = false;
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            double value = equals < 0 ? Double.NaN : number(part.substring(equals + 1));
            if (Double.isNaN(value)) {
                continue;
            }
            any = true;
            switch (part.substring(0, equals).strip()) {
                case "x0" -> position = (long) (value * 1e6);
                case "x1" -> role = value == 1 ? Role.PRIMARY : Role.REPLICA;
                case "backlog", "queue" -> backlog = value;
                case "utilization", "util" -> utilization = value;
                case "outstanding", "inflight" -> inFlight = value;
                default -> { }
            }
        }
        return any ? new Report(position, role, backlog, utilization, inFlight) : null;
    }

    /** A log position in Unix milliseconds as microseconds; NONE if the text is none. */
    public static long position(String millis) {
        double value = number(millis);
        return value > 0 ? (long) (value * 1e3) : RouterApi.NONE;
    }

    /** A database's place in its group, from its {@code mode}. */
    public static Role role(String mode) {
        return switch (mode) {
            case "read-write" -> Role.PRIMARY;
            case "read-only" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
