package crankwick.routing.api;

/** One entry of the endpoint list. */
public record Endpoint(String id, int zone, long groupId, Role role, EndpointStatus status, long startedAt) {}
