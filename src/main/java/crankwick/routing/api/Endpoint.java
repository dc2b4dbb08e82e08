package crankwick.routing.api;

/**
 * An entry of the endpoint list: one database process.
 *
 * @param id the unique name, the same at every proxy
 * @param zone the index of its zone in the settings
 * @param groupId the group that it belongs to
 * @param role the role in the endpoint list
 * @param status the status in the endpoint list
 * @param startedAt the start time of its process, in microseconds; 0 if unknown
 */
public record Endpoint(String id, int zone, long groupId, Role role, EndpointStatus status, long startedAt) {}
