package crankwick.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Reads lines of space-separated tokens from a byte stream without creating a string for each token. */
final class LineReader {
    /** The value of an absent field in a row. */
    static final long ABSENT_FIELD = Long.MIN_VALUE;

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final int MAX_QUOTED_BYTES = 200;
    private static final int REQUEST_ID_DIGITS = 16;
    private static final int ROW_DECIMAL_PLACES = 6;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private int nextLineStart;
    private int lineStart;
    private int lineEnd;
    private int position;
    private long lineNumber;
    private final Map<Integer, String> cachedTokens = new HashMap<>();

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; returns false at the end of input. */
    boolean nextLine() throws IOException {
        int scan = nextLineStart;
        while (true) {
            for (; scan < bufferedBytes; scan++) {
                if (buffer[scan] == '\n') {
                    selectLine(scan);
                    return true;
                }
            }
            scan -= nextLineStart;
            if (!readMore()) {
                return false;
            }
        }
    }

    private void selectLine(int end) {
        lineStart = nextLineStart;
        lineEnd = end;
        nextLineStart = end + 1;
        position = lineStart;
        lineNumber++;
    }

    /**
     * Moves the unread bytes to the start of the buffer and reads more; returns false at the end of input, or throws if
     * the input ends within a line.
     */
    private boolean readMore() throws IOException {
        System.arraycopy(buffer, nextLineStart, buffer, 0, bufferedBytes - nextLineStart);
        bufferedBytes -= nextLineStart;
        nextLineStart = 0;
        if (bufferedBytes == buffer.length) {
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
        int read = in.read(buffer, bufferedBytes, buffer.length - bufferedBytes);
        if (read >= 0) {
            bufferedBytes += read;
            return true;
        }
        if (bufferedBytes > 0) {
            lineStart = 0;
            lineEnd = bufferedBytes;
            lineNumber++;
            throw malformed("input ends within a line");
        }
        return false;
    }

    /**
     * Creates an exception with the fault, the number of the current line and up to {@link #MAX_QUOTED_BYTES} bytes of
     * the line.
     */
    WireException malformed(String fault) {
        String line =
                new String(buffer, lineStart, Math.min(lineEnd - lineStart, MAX_QUOTED_BYTES), StandardCharsets.UTF_8);
        return new WireException("line " + lineNumber + ": " + fault + ": " + line);
    }

    boolean isAtLineEnd() {
        return position >= lineEnd;
    }

    /** The next token as a string; recurring tokens return a cached string. */
    String nextToken() {
        int from = position;
        int to = skipToken();
        int hash = 7;
        for (int i = from; i < to; i++) {
            hash = hash * 31 + buffer[i];
        }
        String cached = cachedTokens.get(hash);
        if (cached != null && matches(cached, from, to)) {
            return cached;
        }
        String token = new String(buffer, from, to - from, StandardCharsets.UTF_8);
        cachedTokens.put(hash, token);
        return token;
    }

    private boolean matches(String token, int from, int to) {
        if (token.length() != to - from) {
            return false;
        }
        for (int i = from; i < to; i++) {
            if (token.charAt(i - from) != buffer[i]) {
                return false;
            }
        }
        return true;
    }

    private int skipToken() {
        if (position >= lineEnd) {
            throw malformed("missing token");
        }
        int to = position;
        while (to < lineEnd && buffer[to] != ' ') {
            to++;
        }
        if (to == position) {
            throw malformed("empty token");
        }
        position = Math.min(to + 1, lineEnd);
        return to;
    }

    String restOfLine() {
        String text = new String(buffer, position, lineEnd - position, StandardCharsets.UTF_8);
        position = lineEnd;
        return text;
    }

    /** The next token as a decimal times 10^{@code places}, truncated; {@code absent} if the token is a dash. */
    long nextDecimal(int places, long absent) {
        int from = position;
        int to = skipToken();
        return to - from == 1 && buffer[from] == '-' ? absent : parseDecimal(from, to, places);
    }

    private long parseDecimal(int from, int to, int places) {
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
                return parseScientific(from, to, places);
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

    private long parseScientific(int from, int to, int places) {
        try {
            String text = new String(buffer, from, to - from, StandardCharsets.UTF_8);
            return new BigDecimal(text).scaleByPowerOfTen(places).longValue();
        } catch (NumberFormatException e) {
            throw malformed("not a number");
        }
    }

    long nextInteger() {
        return nextDecimal(0, 0);
    }

    boolean nextBoolean() {
        return nextInteger() != 0;
    }

    /** The next token as a request id of 16 hexadecimal digits. */
    long nextRequestId() {
        int from = position;
        int to = skipToken();
        if (to - from != REQUEST_ID_DIGITS) {
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

    /**
     * The next token as a row of comma-separated fields: each value multiplied by 10^6, or {@link #ABSENT_FIELD} if the
     * field is empty or a dash; null if the token is a dash.
     */
    long[] nextRow() {
        int from = position;
        int to = skipToken();
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
                row[field++] = absent ? ABSENT_FIELD : parseDecimal(from, i, ROW_DECIMAL_PLACES);
                from = i + 1;
            }
        }
        return row;
    }
}
