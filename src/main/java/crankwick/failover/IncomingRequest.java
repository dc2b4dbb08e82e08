package crankwick.failover;

/**
 * A request as it is received; times in microseconds.
 *
 * @param idempotencyKey its idempotency key; null for none
 * @param statementBytes the length of its statement
 */
public record IncomingRequest(
        long requestId,
        long groupId,
        String team,
        int classIndex,
        String idempotencyKey,
        int statementBytes,
        long expiresAt) {}
