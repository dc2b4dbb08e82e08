package crankwick.routing;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.RoutingSettings;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The endpoints and groups that the endpoint list has named, until they expire. */
final class EndpointRegistry {
    private final RoutingSettings settings;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<Long, EndpointGroup> groups = new LinkedHashMap<>();

    EndpointRegistry(RoutingSettings settings) {
        this.settings = settings;
    }

    /** All endpoints in the order of their first listing. */
    Collection<EndpointState> endpoints() {
        return endpoints.values();
    }

    /** All groups in the order of their first listing. */
    Collection<EndpointGroup> groups() {
        return groups.values();
    }

    /** The endpoint with this identifier, or null. */
    EndpointState endpoint(String id) {
        return endpoints.get(id);
    }

    /** The group with this identifier, or null. */
    EndpointGroup group(long id) {
        return groups.get(id);
    }

    /** The group with this identifier; an empty one that is not kept if it is unknown, as clients may invent any. */
    EndpointGroup groupOrEmpty(long id) {
        EndpointGroup known = groups.get(id);
        return known == null ? newGroup(id) : known;
    }

    private EndpointGroup newGroup(long id) {
        return new EndpointGroup(id, settings.requestClasses().size());
    }

    /** Marks every endpoint as unlisted, before a full list is applied. */
    void unlistAll(long now) {
        endpoints.values().forEach(endpoint -> endpoint.unlist(now));
    }

    /** Applies one entry of the endpoint list and returns its endpoint, created if it is new. */
    EndpointState register(Endpoint entry, long now) {
        EndpointState endpoint = endpoints.get(entry.id());
        if (endpoint == null) {
            EndpointGroup group = groups.computeIfAbsent(entry.groupId(), this::newGroup);
            endpoint = new EndpointState(entry, group, settings);
            endpoints.put(endpoint.id(), endpoint);
            group.add(endpoint);
        }
        endpoint.updateStatus(entry.status(), now);
        return endpoint;
    }

    /** Removes expired endpoints and unused groups, which bounds the memory. */
    void removeExpired(long now) {
        groups.values().forEach(group -> group.removeExpired(now));
        endpoints.values().removeIf(endpoint -> !endpoint.group().endpoints().contains(endpoint));
        groups.values().removeIf(EndpointGroup::isUnused);
    }

    /** The number of endpoints and groups kept, listed or not. */
    int size() {
        return endpoints.size() + groups.size();
    }
}
