package crankwick.statement;

/**
 * Reads the hints of one comment; maps their short names on the wire to the terms used in the code. A client may send
 * very many hints, also under the same name, so that each costs a few steps only: no text is copied before the last one
 * is read.
 */
final class HintReader {
    private static final int MAX_HINT_LENGTH = 128;
    private static final long MAX_TIMEOUT_MILLIS = 60_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int DECIMAL = 10;
    /** Numbers with more digits may exceed a long. */
    private static final int MAX_SAFE_DIGITS = 18;

    private static final int NOT_FOUND = -1;

    private static final char[] ID = "id".toCharArray();
    private static final char[] CLASS = "c".toCharArray();
    private static final char[] KEY = "k".toCharArray();
    private static final char[] GROUP = "cluster".toCharArray();
    private static final char[] POSITION = "after".toCharArray();
    private static final char[] TIMEOUT = "d".toCharArray();

    /** A part of the comment; its start is {@link #NOT_FOUND} until it is set. */
    private static final class Range {
        private int start = NOT_FOUND;
        private int end;

        private void set(int from, int to) {
            start = from;
            end = to;
        }
    }

    private final char[] comment;
    private final Range requestId = new Range();
    private final Range requestClassName = new Range();
    private final Range idempotencyKey = new Range();
    private final Range timeout = new Range();
    private long timeoutMillis = -1;
    private long groupId = -1;
    private long requiredPositionMillis = -1;

    /** The part of the comment in which the current hint's value is, without surrounding space. */
    private final Range value = new Range();

    /** Reads the hints of a comment's text; throws IllegalArgumentException with the first one that is invalid. */
    HintReader(char[] comment) {
        this.comment = comment;
        int hintStart = 0;
        int equals = NOT_FOUND;
        for (int at = 0; at < comment.length; at++) {
            char next = comment[at];
            if (next == '=' && equals == NOT_FOUND) {
                equals = at;
            } else if (next == ',') {
                readHint(hintStart, equals, at);
                hintStart = at + 1;
                equals = NOT_FOUND;
            }
        }
        readHint(hintStart, equals, comment.length);
    }

    private void readHint(int start, int equals, int end) {
        if (equals == NOT_FOUND) {
            return;
        }
        int nameStart = skipSpace(start, equals);
        int nameEnd = skipSpaceBackwards(nameStart, equals);
        if (nameStart == nameEnd) {
            return;
        }
        int valueStart = skipSpace(equals + 1, end);
        value.set(valueStart, skipSpaceBackwards(valueStart, end));
        switch (comment[nameStart]) {
            case 'i' -> readText(ID, nameStart, nameEnd, requestId);
            case 'c' -> readClassOrGroup(nameStart, nameEnd);
            case 'k' -> readText(KEY, nameStart, nameEnd, idempotencyKey);
            case 'a' -> readPosition(nameStart, nameEnd);
            case 'd' -> readTimeout(nameStart, nameEnd);
            default -> {}
        }
    }

    private void readText(char[] name, int nameStart, int nameEnd, Range hint) {
        if (isName(name, nameStart, nameEnd)) {
            int length = value.end - value.start;
            require(length > 0 && length <= MAX_HINT_LENGTH, name, " is unusable");
            hint.set(value.start, value.end);
        }
    }

    private void readClassOrGroup(int nameStart, int nameEnd) {
        if (isName(GROUP, nameStart, nameEnd)) {
            groupId = number(Integer.MAX_VALUE, GROUP);
        } else {
            readText(CLASS, nameStart, nameEnd, requestClassName);
        }
    }

    private void readPosition(int nameStart, int nameEnd) {
        if (isName(POSITION, nameStart, nameEnd)) {
            requiredPositionMillis = number(Long.MAX_VALUE / MILLIS_PER_SECOND, POSITION);
        }
    }

    private void readTimeout(int nameStart, int nameEnd) {
        if (isName(TIMEOUT, nameStart, nameEnd)) {
            timeoutMillis = Math.min(MAX_TIMEOUT_MILLIS, number(Long.MAX_VALUE, TIMEOUT));
            timeout.set(value.start, value.end);
        }
    }

    private int skipSpace(int start, int end) {
        int at = start;
        while (at < end && Character.isWhitespace(comment[at])) {
            at++;
        }
        return at;
    }

    private int skipSpaceBackwards(int start, int end) {
        int at = end;
        while (at > start && Character.isWhitespace(comment[at - 1])) {
            at--;
        }
        return at;
    }

    private boolean isName(char[] name, int start, int end) {
        boolean equal = end - start == name.length;
        for (int i = 0; equal && i < name.length; i++) {
            equal = comment[start + i] == name[i];
        }
        return equal;
    }

    private long number(long max, char[] name) {
        long number = isShortDecimal() ? shortDecimal() : parseLong(name);
        require(number >= 0 && number <= max, name, " is out of range");
        return number;
    }

    private boolean isShortDecimal() {
        int length = value.end - value.start;
        boolean decimal = length > 0 && length <= MAX_SAFE_DIGITS;
        for (int at = value.start; decimal && at < value.end; at++) {
            decimal = comment[at] >= '0' && comment[at] <= '9';
        }
        return decimal;
    }

    private long shortDecimal() {
        long number = 0;
        for (int at = value.start; at < value.end; at++) {
            number = number * DECIMAL + (comment[at] - '0');
        }
        return number;
    }

    private long parseLong(char[] name) {
        try {
            return Long.parseLong(text(value));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(new String(name) + " is not a number", e);
        }
    }

    private static void require(boolean condition, char[] name, String message) {
        if (!condition) {
            throw new IllegalArgumentException(new String(name) + message);
        }
    }

    private String text(Range range) {
        return range.start == NOT_FOUND ? null : new String(comment, range.start, range.end - range.start);
    }

    /** The request's id, or null. */
    String requestId() {
        return text(requestId);
    }

    /** The name of the request class, or null. */
    String requestClassName() {
        return text(requestClassName);
    }

    /** The idempotency key, or null. */
    String idempotencyKey() {
        return text(idempotencyKey);
    }

    /** The client's timeout in milliseconds, at most 60,000; -1 if absent. */
    long timeoutMillis() {
        return timeoutMillis;
    }

    /** The index in the comment at which the timeout's digits start. */
    int timeoutStart() {
        return timeout.start;
    }

    /** The index in the comment after the timeout's digits. */
    int timeoutEnd() {
        return timeout.end;
    }

    /** The group's number; -1 if absent. */
    long groupId() {
        return groupId;
    }

    /** The minimum replication position, a Unix time in milliseconds; -1 if absent. */
    long requiredPositionMillis() {
        return requiredPositionMillis;
    }
}
