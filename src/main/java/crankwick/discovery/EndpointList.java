package crankwick.discovery;

import crankwick.discovery.Discovery.DiscoveredEndpoint;
import crankwick.discovery.Discovery.ListUpdate;
import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts received lists, of which some entries may be unreadable, into updates. Remembers the last readable state of
 * each endpoint, which replaces an unreadable entry of the endpoint; if only the status of such an entry can be read,
 * and it is draining or removed, the update has this status. Memory is bounded by the size of the endpoint list. Not
 * thread-safe.
 */
public final class EndpointList {
    /**
     * One entry with the parts that could be decoded.
     *
     * @param endpointId the endpoint's id; null if it is unreadable
     * @param status the endpoint's status; null if it is unreadable
     * @param discovered the complete entry; null if any part is unreadable
     * @param fault why the entry is unreadable; null if it is readable
     */
    public record Entry(String endpointId, EndpointStatus status, DiscoveredEndpoint discovered, String fault) {
        /** Creates a readable entry. */
        static Entry of(DiscoveredEndpoint discovered) {
            return new Entry(discovered.endpoint().id(), discovered.endpoint().status(), discovered, null);
        }
    }

    private final Map<String, DiscoveredEndpoint> lastKnown = new HashMap<>();

    /** Starts from the given list. */
    public EndpointList(List<DiscoveredEndpoint> known) {
        known.forEach(discovered -> lastKnown.put(discovered.endpoint().id(), discovered));
    }

    /** The fault of the first unreadable entry; null if all are readable. */
    public static String firstFault(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.fault() != null) {
                return entry.fault();
            }
        }
        return null;
    }

    /** Converts a configuration's list to an update; throws EndpointListFormatException if an entry is unreadable. */
    public static ListUpdate requireComplete(List<Entry> entries) {
        String fault = firstFault(entries);
        if (fault != null) {
            throw new EndpointListFormatException(fault);
        }
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (Entry entry : entries) {
            endpoints.add(entry.discovered());
        }
        return new ListUpdate(EndpointUpdateKind.RESTORED, endpoints);
    }

    /**
     * Merges a received list and returns the resulting update; {@code full} if the list claims to be complete. The
     * update is full only if the id of every entry is readable too, since an entry without an id may be any endpoint.
     * An unreadable entry of an unknown endpoint is left out. If a list has two entries for an endpoint, the later one
     * counts, unless the earlier one is draining.
     */
    public ListUpdate merge(boolean full, List<Entry> entries) {
        Map<String, DiscoveredEndpoint> named = new LinkedHashMap<>();
        boolean complete = full;
        for (Entry entry : entries) {
            complete &= entry.endpointId() != null;
            DiscoveredEndpoint discovered = entry.discovered() != null ? entry.discovered() : lastKnownOf(entry);
            if (discovered != null) {
                named.merge(
                        entry.endpointId(),
                        discovered,
                        (before, after) -> before.endpoint().status() == EndpointStatus.DRAINING ? before : after);
            }
        }
        if (complete) {
            lastKnown.clear();
        }
        named.forEach((endpointId, discovered) -> {
            if (discovered.endpoint().status() == EndpointStatus.REMOVED) {
                lastKnown.remove(endpointId);
            } else {
                lastKnown.put(endpointId, discovered);
            }
        });
        return new ListUpdate(
                complete ? EndpointUpdateKind.FULL : EndpointUpdateKind.INCREMENTAL, new ArrayList<>(named.values()));
    }

    /**
     * The last known state of an unreadable entry's endpoint, with the entry's status if that is draining or removed;
     * null if the endpoint is unknown.
     */
    private DiscoveredEndpoint lastKnownOf(Entry entry) {
        DiscoveredEndpoint discovered = lastKnown.get(entry.endpointId());
        if (discovered == null || entry.status() == null || entry.status() == EndpointStatus.LIVE) {
            return discovered;
        }
        Endpoint endpoint = discovered.endpoint();
        Endpoint updated = new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.groupId(),
                endpoint.role(),
                entry.status(),
                endpoint.startedAt());
        return new DiscoveredEndpoint(updated, discovered.address());
    }
}
