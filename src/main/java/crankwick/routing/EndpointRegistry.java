package crankwick.routing;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.RoutingSettings;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The endpoints and groups that have appeared in the endpoint list and have not expired. */
final class EndpointRegistry {
    private final RoutingSettings settings;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<Long, EndpointGroup> groups = new LinkedHashMap<>();

    EndpointRegistry(RoutingSettings settings) {
        this.settings = settings;
    }

    /** Returns all endpoints in the order in which they were first listed. */
    Collection<EndpointState> endpoints() {
        return endpoints.values();
    }

    /** Returns all groups in the order in which they were first listed. */
    Collection<EndpointGroup> groups() {
        return groups.values();
    }

    /** Returns the endpoint with this identifier, or null. */
    EndpointState endpoint(String id) {
        return endpoints.get(id);
    }

    /** Returns the group with this identifier, or null. */
    EndpointGroup group(long id) {
        return groups.get(id);
    }

    /** Returns the group, or an empty unregistered one if it is unknown, as clients may send any group identifier. */
    EndpointGroup groupOrEmpty(long id) {
        EndpointGroup known = groups.get(id);
        return known == null ? newGroup(id) : known;
    }

    private EndpointGroup newGroup(long id) {
        return new EndpointGroup(id, settings.requestClasses().size());
    }

    /** Marks every endpoint as unlisted, before a complete list (FULL or RESTORED) is applied. */
    void unlistAll(long now) {
        endpoints.values().forEach(endpoint -> endpoint.unlist(now));
    }

    /** Applies one entry of the endpoint list and returns its endpoint, which is created if necessary. */
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

    /** Removes expired endpoints and unused groups, which bounds memory use. */
    void removeExpired(long now) {
        groups.values().forEach(group -> group.removeExpired(now));
        endpoints.values().removeIf(endpoint -> !endpoint.group().endpoints().contains(endpoint));
        groups.values().removeIf(EndpointGroup::isUnused);
    }

    /** Returns the number of registered endpoints and groups, including unlisted ones. */
    int size() {
        return endpoints.size() + groups.size();
    }
}
