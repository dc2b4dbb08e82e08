package crankwick.failover;

import crankwick.routing.api.AbsentValue;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The replication groups of the endpoint list, and which group each endpoint belongs to. */
final class GroupRegistry {
    private final FailoverSettings settings;
    private final Map<Long, GroupState> groups = new LinkedHashMap<>();
    private final Map<String, GroupState> groupByEndpoint = new HashMap<>();
    private final Map<String, RequestBuffer.TeamUsage> teamUsage = new HashMap<>();

    GroupRegistry(FailoverSettings settings) {
        this.settings = settings;
    }

    /** A group by its number; null if it is not known. */
    GroupState group(long groupId) {
        return groups.get(groupId);
    }

    /** An endpoint's group; null if the endpoint is not known. */
    GroupState groupOf(String endpointId) {
        return groupByEndpoint.get(endpointId);
    }

    /** The number of an endpoint's group, or NONE. */
    long groupIdOf(String endpointId) {
        GroupState group = groupOf(endpointId);
        return group == null ? AbsentValue.NONE : group.id();
    }

    /** All groups; a copy, since decisions may remove some. */
    List<GroupState> all() {
        return List.copyOf(groups.values());
    }

    /** The known endpoints that a complete list leaves out, with their groups. */
    Map<String, GroupState> missingFrom(List<Endpoint> completeList) {
        Map<String, GroupState> missing = new HashMap<>(groupByEndpoint);
        completeList.forEach(endpoint -> missing.remove(endpoint.id()));
        return missing;
    }

    /** The group of a listed endpoint, which is added unless the list removes it; null if it stays unknown. */
    GroupState groupOfListed(Endpoint endpoint) {
        GroupState group = groupByEndpoint.get(endpoint.id());
        if (group == null && endpoint.status() != EndpointStatus.REMOVED) {
            group = groups.computeIfAbsent(endpoint.groupId(), id -> new GroupState(id, settings, teamUsage));
            group.endpointAdded();
            groupByEndpoint.put(endpoint.id(), group);
        }
        return group;
    }

    /** Forgets an endpoint that has been removed from the list. */
    void removeEndpoint(String endpointId, GroupState group) {
        if (groupByEndpoint.remove(endpointId) != null) {
            group.leadership().forget(endpointId);
            group.endpointRemoved();
            removeIfUnused(group);
        }
    }

    /** A group without endpoints is kept only for requests that are still open. */
    void removeIfUnused(GroupState group) {
        if (group.isUnused()) {
            groups.remove(group.id(), group);
        }
    }
}
