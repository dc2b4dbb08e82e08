package crankwick.failover;

/**
 * A request as received from a client; times in microseconds.
 *
 * @param idempotencyKey the request's idempotency key, or null if it has none
 * @param statementBytes the memory that the statement takes while the request is buffered, in bytes
 * @param expiresAt the deadline of the request
 */
public record IncomingRequest(
        long requestId,
        long groupId,
        String team,
        int classIndex,
        String idempotencyKey,
        int statementBytes,
        long expiresAt) {}
