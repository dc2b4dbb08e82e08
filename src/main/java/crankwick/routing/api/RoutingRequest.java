package crankwick.routing.api;

/**
 * A client's request.
 *
 * @param requestId the caller's number for it
 * @param classIndex its class, as a position in {@link RoutingSettings#requestClasses}
 * @param groupId the group that has its data
 * @param sessionId the session whose writes it must see; {@link AbsentValue#NONE} for none
 * @param tokenAge time since the session's last commit, where clients carry it; else NONE
 * @param expiresAt when its client gives up
 */
public record RoutingRequest(
        long requestId, int classIndex, long groupId, long sessionId, long tokenAge, long expiresAt)
        implements RoutingEvent {}
