package crankwick.routing.api;

/**
 * An entry of the endpoint list: one database process.
 *
 * @param id its name, the same at every proxy
 * @param zone the position of its zone in the settings
 * @param groupId the group of replicas that it belongs to
 * @param role as the list shows it
 * @param status as the list shows it
 * @param startedAt when its process started, in microseconds; 0 if that is unknown
 */
public record Endpoint(String id, int zone, long groupId, Role role, EndpointStatus status, long startedAt) {}
