package crankwick.statement;

import java.nio.charset.StandardCharsets;

/**
 * A statement with the hints of its leading comment, as every front carries them:
 * {@code /* id=..,c=..,d=..,cluster=..[,k=..][,after=..] *}{@code / SELECT ..}.
 *
 * @param cls the class's name
 * @param waitMs how long the caller waits, in milliseconds
 * @param key the idempotency key, or null
 * @param after the position to be seen, a Unix time in milliseconds, or -1
 * @param session the first quoted literal, or null
 */
public record Statement(
        String id,
        String cls,
        long waitMs,
        String key,
        long cluster,
        long after,
        String session,
        String text,
        int waitFrom,
        int waitTo) {
    private static final String OPEN = "/*";
    private static final String CLOSE = "*/";
    private static final int MAX_WORD = 128;
    private static final long MAX_WAIT = 60_000;
    private static final long SESSION_MASK = (1L << 53) - 1;

    /** Reads a statement; throws IllegalArgumentException with the hint at fault. */
    public static Statement parse(String text) {
        int open = text.indexOf(OPEN);
        int close = text.indexOf(CLOSE, open + 2);
        require(open >= 0 && text.substring(0, open).isBlank() && close > 0, "no leading comment");
        String id = null;
        String cls = null;
        String key = null;
        long wait = -1;
        long cluster = -1;
        long after = -1;
        int waitFrom = 0;
        int waitTo = 0;
        int at = open + 2;
        while (at < close) {
            int comma = text.indexOf(',', at);
            int end = comma < 0 || comma > close ? close : comma;
            int equals = text.indexOf('=', at);
            if (equals > 0 && equals < end) {
                String value = text.substring(equals + 1, end).strip();
                switch (text.substring(at, equals).strip()) {
                    case "id" -> id = word(value, "id");
                    case "c" -> cls = word(value, "c");
                    case "k" -> key = word(value, "k");
                    case "cluster" -> cluster = number(value, Integer.MAX_VALUE, "cluster");
                    case "after" -> after = number(value, Long.MAX_VALUE / 1000, "after");
                    case "d" -> {
                        wait = Math.min(MAX_WAIT, number(value, Long.MAX_VALUE, "d"));
                        waitFrom = text.indexOf(value, equals + 1);
                        waitTo = waitFrom + value.length();
                    }
                    default -> {}
                }
            }
            at = end + 1;
        }
        require(id != null, "id is missing");
        require(cls != null, "c is missing");
        require(wait > 0, "d is missing");
        require(cluster >= 0, "cluster is missing");
        return new Statement(id, cls, wait, key, cluster, after, literal(text, close), text, waitFrom, waitTo);
    }

    /** The statement as it goes to a database that should wait so many milliseconds. */
    public String withWait(long millis) {
        return text.substring(0, waitFrom) + millis + text.substring(waitTo);
    }

    /** The session's number, for a decision module that remembers sessions itself. */
    public long sessionNumber() {
        if (session == null) {
            return -1;
        }
        long hash = 0xcbf29ce484222325L;
        for (byte b : session.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 53) & SESSION_MASK;
    }

    private static String literal(String text, int from) {
        int open = text.indexOf('\'', from);
        int close = open < 0 ? -1 : text.indexOf('\'', open + 1);
        return close < 0 ? null : text.substring(open + 1, close);
    }

    private static String word(String value, String name) {
        require(!value.isEmpty() && value.length() <= MAX_WORD, name + " is unusable");
        return value;
    }

    private static long number(String value, long most, String name) {
        try {
            long number = Long.parseLong(value);
            require(number >= 0 && number <= most, name + " is out of range");
            return number;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a number", e);
        }
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }
}
