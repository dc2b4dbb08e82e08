package crankwick.broker;

/**
 * A request as its client sent it. Times and positions are microseconds, NONE where absent.
 *
 * @param requestId the broker's number for it, never used twice
 * @param clientRequestId its client's identifier for it, which databases see; no two open requests may share one
 * @param team the team whose contract applies
 * @param classIndex the index of its class in the settings
 * @param requiredPosition the log position that a replica must have reached to serve it
 * @param timeout how long the client waits from now on
 * @param idempotencyKey its idempotency key; null for none
 * @param statementBytes how many bytes buffering its statement takes
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
