package crankwick.statement;

import java.nio.charset.StandardCharsets;

/**
 * An SQL statement and the hints from its leading comment, which has the same format in every client protocol:
 * {@code /* id=..,c=..,d=..,cluster=..[,k=..][,after=..] *}{@code / SELECT ..}.
 *
 * @param requestClassName the name of the request class
 * @param timeoutMillis the client's timeout, in milliseconds, reduced to 60,000 if larger
 * @param idempotencyKey the idempotency key, or null
 * @param requiredPositionMillis the minimum replication position, a Unix time in milliseconds, or -1 if absent
 * @param sessionId the first quoted literal after the hints, or null
 * @param timeoutStart the index in {@code text} at which the timeout's digits start
 * @param timeoutEnd the index in {@code text} after the timeout's digits
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

    /**
     * Parses a statement; throws IllegalArgumentException with the missing or invalid hint, or if there is no leading
     * comment.
     */
    public static Statement parse(String text) {
        return new StatementParser(text).parse();
    }

    /** Returns the statement text to send to a database, with the client's timeout replaced by the attempt's. */
    public String withTimeout(long millis) {
        return text.substring(0, timeoutStart) + millis + text.substring(timeoutEnd);
    }

    /**
     * A hash of the session id, by which the routing module identifies the consistency session; -1 if there is no
     * session id.
     */
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
