package crankwick.broker;

/**
 * A request as its client sent it. Times and positions are in microseconds, NONE if absent.
 *
 * @param requestId the broker's ID of the request, never reused
 * @param clientRequestId the client's ID of the request, passed on to databases; unique among unfinished requests
 * @param team the team whose contract applies
 * @param classIndex the index of the request's class in the settings
 * @param requiredPosition the minimum log position of a replica that may serve the request
 * @param timeout how long the client waits for a reply, counted from the receipt of the request and not yet limited by
 *     the team's contract
 * @param idempotencyKey the idempotency key; null if there is none
 * @param statementBytes the memory that the statement takes while the request is buffered, in bytes
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
