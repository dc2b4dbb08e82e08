package crankwick.routing.api;

/** A client's request; {@code tokenAge} is the time since its session's last commit, if requests carry it. */
public record RoutingRequest(
        long requestId, int classIndex, long groupId, long sessionId, long tokenAge, long expiresAt)
        implements RoutingEvent {}
