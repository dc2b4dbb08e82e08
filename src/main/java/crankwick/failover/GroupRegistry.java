package crankwick.failover;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The replication groups that have known endpoints or open requests, and the group of each known endpoint. */
final class GroupRegistry {
    private final FailoverSettings settings;
    private final Map<Long, GroupState> groups = new LinkedHashMap<>();
    private final Map<String, GroupState> groupByEndpoint = new HashMap<>();
    private final Map<String, RequestBuffer.TeamUsage> teamUsage = new HashMap<>();

    GroupRegistry(FailoverSettings settings) {
        this.settings = settings;
    }

    /** Returns a group by its number, or null if the group is unknown. */
    GroupState group(long groupId) {
        return groups.get(groupId);
    }

    /** Returns an endpoint's group, or null if the endpoint is unknown. */
    GroupState groupOf(String endpointId) {
        return groupByEndpoint.get(endpointId);
    }

    /** Returns the number of an endpoint's group, or NONE if the endpoint is unknown. */
    long groupIdOf(String endpointId) {
        GroupState group = groupOf(endpointId);
        return group == null ? AbsentValue.NONE : group.id();
    }

    /** Returns a copy of all groups, because decisions may remove groups during iteration. */
    List<GroupState> all() {
        return List.copyOf(groups.values());
    }

    /** Returns the known endpoints that are missing from a full list, with their groups. */
    Map<String, GroupState> endpointsMissingFrom(List<Endpoint> fullList) {
        Map<String, GroupState> missing = new HashMap<>(groupByEndpoint);
        fullList.forEach(endpoint -> missing.remove(endpoint.id()));
        return missing;
    }

    /**
     * Returns the group of an endpoint in a list update, and adds the endpoint if it is unknown. Returns null and adds
     * nothing if the endpoint is unknown and listed as removed.
     */
    GroupState groupOfListedEndpoint(Endpoint endpoint) {
        GroupState group = groupByEndpoint.get(endpoint.id());
        if (group == null && endpoint.status() != EndpointStatus.REMOVED) {
            group = groups.computeIfAbsent(endpoint.groupId(), id -> new GroupState(id, settings, teamUsage));
            group.endpointAdded();
            groupByEndpoint.put(endpoint.id(), group);
        }
        return group;
    }

    /** Removes an endpoint that is no longer in the endpoint list, and its group if the group is then unused. */
    void removeEndpoint(String endpointId, GroupState group) {
        if (groupByEndpoint.remove(endpointId) != null) {
            group.leadership().removeEndpoint(endpointId);
            group.endpointRemoved();
            removeIfUnused(group);
        }
    }

    /** Removes a group if it has neither endpoints nor open requests. */
    void removeIfUnused(GroupState group) {
        if (group.isUnused()) {
            groups.remove(group.id(), group);
        }
    }
}
