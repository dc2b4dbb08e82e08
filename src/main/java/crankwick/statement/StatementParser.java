package crankwick.statement;

/** Parses the hints of one statement; maps their short names on the wire to the terms used in the code. */
final class StatementParser {
    private static final String COMMENT_START = "/*";
    private static final String COMMENT_END = "*/";
    private static final int MAX_HINT_LENGTH = 128;
    private static final long MAX_TIMEOUT_MILLIS = 60_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int NOT_SEARCHED = -1;

    private final String text;
    private String requestId;
    private String requestClassName;
    private String idempotencyKey;
    private long timeoutMillis = -1;
    private long groupId = -1;
    private long requiredPositionMillis = -1;
    private int timeoutStart;
    private int timeoutEnd;

    StatementParser(String text) {
        this.text = text;
    }

    /**
     * Parses the statement; throws IllegalArgumentException with the missing or invalid hint, or if there is no leading
     * comment.
     */
    Statement parse() {
        int open = text.indexOf(COMMENT_START);
        int close = text.indexOf(COMMENT_END, open + COMMENT_START.length());
        require(open >= 0 && text.substring(0, open).isBlank() && close > 0, "no leading comment");
        readHints(open + COMMENT_START.length(), close);
        require(requestId != null, "id is missing");
        require(requestClassName != null, "c is missing");
        require(timeoutMillis > 0, "d is missing");
        require(groupId >= 0, "cluster is missing");
        return new Statement(
                requestId,
                requestClassName,
                timeoutMillis,
                idempotencyKey,
                groupId,
                requiredPositionMillis,
                firstLiteral(close),
                text,
                timeoutStart,
                timeoutEnd);
    }

    /** Reads the hints between two indexes. Each character is looked at a constant number of times. */
    private void readHints(int start, int commentEnd) {
        int at = start;
        int equals = NOT_SEARCHED;
        while (at < commentEnd) {
            int end = indexOrEnd(text.indexOf(',', at), commentEnd);
            if (equals < at) {
                equals = indexOrEnd(text.indexOf('=', at), commentEnd);
            }
            if (equals < end) {
                readHint(text.substring(at, equals).strip(), equals + 1, end);
            }
            at = end + 1;
        }
    }

    private static int indexOrEnd(int index, int end) {
        return index < 0 ? end : Math.min(index, end);
    }

    private void readHint(String name, int valueStart, int valueEnd) {
        String value = text.substring(valueStart, valueEnd).strip();
        switch (name) {
            case "id" -> requestId = hintText(value, name);
            case "c" -> requestClassName = hintText(value, name);
            case "k" -> idempotencyKey = hintText(value, name);
            case "cluster" -> groupId = number(value, Integer.MAX_VALUE, name);
            case "after" -> requiredPositionMillis = number(value, Long.MAX_VALUE / MILLIS_PER_SECOND, name);
            case "d" -> {
                timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, number(value, Long.MAX_VALUE, name));
                timeoutStart = text.indexOf(value, valueStart);
                timeoutEnd = timeoutStart + value.length();
            }
            default -> {}
        }
    }

    private String firstLiteral(int from) {
        int open = text.indexOf('\'', from);
        int close = open < 0 ? -1 : text.indexOf('\'', open + 1);
        return close < 0 ? null : text.substring(open + 1, close);
    }

    private static String hintText(String value, String name) {
        require(!value.isEmpty() && value.length() <= MAX_HINT_LENGTH, name + " is unusable");
        return value;
    }

    private static long number(String value, long max, String name) {
        try {
            long number = Long.parseLong(value);
            require(number >= 0 && number <= max, name + " is out of range");
            return number;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a number", e);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
