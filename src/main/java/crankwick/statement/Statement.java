package crankwick.statement;

import java.nio.charset.StandardCharsets;

/**
 * A statement with the hints of its leading comment, as every front carries them:
 * {@code /* id=..,c=..,d=..,cluster=..[,k=..][,after=..] *}{@code / SELECT ..}.
 *
 * @param requestClassName the class's name
 * @param timeoutMillis how long the caller waits, in milliseconds
 * @param idempotencyKey the idempotency key, or null
 * @param requiredPositionMillis the position to be seen, a Unix time in milliseconds, or -1
 * @param sessionId the first quoted literal, or null
 */
public record Statement(
        String requestId,
        String requestClassName,
        long timeoutMillis,
        String idempotencyKey,
        long groupId,
        long requiredPositionMillis,
        String sessionId,
        String text,
        int timeoutStart,
        int timeoutEnd) {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int SESSION_BITS = 53;
    private static final long SESSION_MASK = (1L << SESSION_BITS) - 1;

    /** Reads a statement; throws IllegalArgumentException with the hint at fault. */
    public static Statement parse(String text) {
        return new StatementParser(text).parse();
    }

    /** The statement with another timeout, as it is sent to a database. */
    public String withTimeout(long millis) {
        return text.substring(0, timeoutStart) + millis + text.substring(timeoutEnd);
    }

    /** A hash of the session, by which the routing module identifies it; -1 for none. */
    public long sessionHash() {
        if (sessionId == null) {
            return -1;
        }
        long hash = FNV_OFFSET_BASIS;
        for (byte b : sessionId.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b) * FNV_PRIME;
        }
        return (hash ^ hash >>> SESSION_BITS) & SESSION_MASK;
    }
}
