package crankwick.broker;

/**
 * A request as its caller put it. Times and positions are microseconds, NONE where absent.
 *
 * @param requestId the broker's number for it, never used twice
 * @param clientRequestId its caller's name for it, which databases see; no two open requests may share one
 * @param team whose contract it falls under
 * @param classIndex its class, as a position in the settings
 * @param requiredPosition the log position that it must see
 * @param timeout how long the caller waits from now
 * @param idempotencyKey its idempotency key; null for none
 * @param statementBytes how many bytes holding its statement takes
 */
public record ClientRequest(
        long requestId,
        String clientRequestId,
        String team,
        int classIndex,
        long groupId,
        long sessionId,
        long requiredPosition,
        long timeout,
        String idempotencyKey,
        int statementBytes) {}
