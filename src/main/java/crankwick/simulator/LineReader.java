package crankwick.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Reads the wire's lines byte by byte and takes their parts, without a string for each. */
final class LineReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int next;
    private int start;
    private int end;
    private int at;
    private long number;
    private final Map<Integer, String> words = new HashMap<>();

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at the end of input. */
    boolean nextLine() throws IOException {
        int scan = next;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    start = next;
                    end = scan;
                    next = scan + 1;
                    at = start;
                    number++;
                    return true;
                }
            }
            scan -= next;
            System.arraycopy(buffer, next, buffer, 0, filled - next);
            filled -= next;
            next = 0;
            if (filled == buffer.length) {
                buffer = Arrays.copyOf(buffer, buffer.length * 2);
            }
            int got = in.read(buffer, filled, buffer.length - filled);
            if (got < 0) {
                if (filled > 0) {
                    start = 0;
                    end = filled;
                    number++;
                    throw malformed("input ends within a line");
                }
                return false;
            }
            filled += got;
        }
    }

    WireException malformed(String what) {
        String line = new String(buffer, start, Math.min(end - start, 200), StandardCharsets.UTF_8);
        return new WireException("line " + number + ": " + what + ": " + line);
    }

    boolean atEnd() {
        return at >= end;
    }

    /** The next part as a string; the same string each time for short parts. */
    String word() {
        int from = at;
        int to = partEnd();
        int hash = 7;
        for (int i = from; i < to; i++) {
            hash = hash * 31 + buffer[i];
        }
        String known = words.get(hash);
        if (known != null && matches(known, from, to)) {
            return known;
        }
        String word = new String(buffer, from, to - from, StandardCharsets.UTF_8);
        words.put(hash, word);
        return word;
    }

    private boolean matches(String word, int from, int to) {
        if (word.length() != to - from) {
            return false;
        }
        for (int i = from; i < to; i++) {
            if (word.charAt(i - from) != buffer[i]) {
                return false;
            }
        }
        return true;
    }

    private int partEnd() {
        if (at >= end) {
            throw malformed("a part is missing");
        }
        int to = at;
        while (to < end && buffer[to] != ' ') {
            to++;
        }
        if (to == at) {
            throw malformed("an empty part");
        }
        at = Math.min(to + 1, end);
        return to;
    }

    /** The rest of the line. */
    String text() {
        String text = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end;
        return text;
    }

    /** The next part as a decimal number times 10^{@code places}, cut off; {@code absent} for a dash. */
    long decimal(int places, long absent) {
        int from = at;
        int to = partEnd();
        return to - from == 1 && buffer[from] == '-' ? absent : decimal(from, to, places);
    }

    private long decimal(int from, int to, int places) {
        boolean negative = buffer[from] == '-';
        long value = 0;
        int fraction = -1;
        int digits = 0;
        for (int i = negative ? from + 1 : from; i < to; i++) {
            byte b = buffer[i];
            if (b == '.' && fraction < 0) {
                fraction = 0;
            } else if (b >= '0' && b <= '9') {
                digits++;
                if (fraction < 0) {
                    value = value * 10 + b - '0';
                } else if (fraction < places) {
                    value = value * 10 + b - '0';
                    fraction++;
                }
            } else if ((b == 'e' || b == 'E') && digits > 0) {
                return exponential(from, to, places);
            } else {
                throw malformed("not a number");
            }
        }
        if (digits == 0) {
            throw malformed("not a number");
        }
        for (int i = Math.max(fraction, 0); i < places; i++) {
            value *= 10;
        }
        return negative ? -value : value;
    }

    private long exponential(int from, int to, int places) {
        try {
            String text = new String(buffer, from, to - from, StandardCharsets.UTF_8);
            return new java.math.BigDecimal(text).scaleByPowerOfTen(places).longValue();
        } catch (NumberFormatException e) {
            throw malformed("not a number");
        }
    }

    long integer() {
        return decimal(0, 0);
    }

    boolean bool() {
        return integer() != 0;
    }

    /** A request id: 16 hex digits. */
    long hex() {
        int from = at;
        int to = partEnd();
        if (to - from != 16) {
            throw malformed("not a request id");
        }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = Character.digit(buffer[i], 16);
            if (digit < 0) {
                throw malformed("not a request id");
            }
            value = value << 4 | digit;
        }
        return value;
    }

    /** The next part as comma-separated numbers, times 10^6; null for a dash. */
    long[] row() {
        int from = at;
        int to = partEnd();
        if (to - from == 1 && buffer[from] == '-') {
            return null;
        }
        int count = 1;
        for (int i = from; i < to; i++) {
            if (buffer[i] == ',') {
                count++;
            }
        }
        long[] row = new long[count];
        int field = 0;
        for (int i = from; i <= to; i++) {
            if (i == to || buffer[i] == ',') {
                boolean absent = i == from || i - from == 1 && buffer[from] == '-';
                row[field++] = absent ? Long.MIN_VALUE : decimal(from, i, 6);
                from = i + 1;
            }
        }
        return row;
    }
}
