package crankwick.routing.api;

/**
 * A client's request.
 *
 * @param requestId the identifier assigned by the caller
 * @param classIndex the index of its class in {@link RoutingSettings#requestClasses}
 * @param groupId the group that stores the requested data
 * @param sessionId the consistency session of the request, whose reads see the session's earlier writes; or
 *     {@link AbsentValue#NONE}
 * @param tokenAge the time since the last commit of the session if clients carry session tokens, else NONE
 * @param expiresAt when the client deadline expires
 */
public record RoutingRequest(
        long requestId, int classIndex, long groupId, long sessionId, long tokenAge, long expiresAt)
        implements RoutingEvent {}
