package crankwick.routing.api;

/** One line of the list of servers. */
public record Endpoint(String id, int zone, long groupId, Role role, EndpointStatus status, long startedAt) {}
