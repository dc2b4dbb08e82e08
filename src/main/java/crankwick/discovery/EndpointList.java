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
 * Turns the entries of a list, of which some may be unreadable, into updates. It remembers the last readable
 * state of each endpoint: an unreadable entry stands for that state, and can only make it more cautious. It is
 * bounded by the size of the list and not thread-safe.
 */
public final class EndpointList {
    /**
     * One entry, as far as it could be decoded.
     *
     * @param endpointId the endpoint's name; null if that is unreadable
     * @param status null if that is unreadable
     * @param discovered the complete entry; null unless all of it is readable
     * @param fault what is unreadable; null if nothing is
     */
    public record Entry(String endpointId, EndpointStatus status, DiscoveredEndpoint discovered, String fault) {
        /** A readable entry. */
        static Entry of(DiscoveredEndpoint discovered) {
            return new Entry(discovered.endpoint().id(), discovered.endpoint().status(), discovered, null);
        }
    }

    private final Map<String, DiscoveredEndpoint> lastKnown = new HashMap<>();

    /** Continues from a known list. */
    public EndpointList(List<DiscoveredEndpoint> known) {
        known.forEach(discovered -> lastKnown.put(discovered.endpoint().id(), discovered));
    }

    /** What is wrong with the first unreadable entry; null if all are readable. */
    public static String firstFault(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.fault() != null) {
                return entry.fault();
            }
        }
        return null;
    }

    /** The list of a configuration, of which every entry has to be readable. */
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
     * The update that a list brings; {@code full} if it claims to be complete. It counts as complete only where
     * the name of each entry is readable, since any endpoint might be the one without. If an endpoint is named
     * twice, a draining entry wins.
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

    /** The last known state for an unreadable entry; draining or removed if that much is readable. */
    private DiscoveredEndpoint lastKnownOf(Entry entry) {
        DiscoveredEndpoint discovered = lastKnown.get(entry.endpointId());
        if (discovered == null || entry.status() == null || entry.status() == EndpointStatus.LIVE) {
            return discovered;
        }
        Endpoint endpoint = discovered.endpoint();
        Endpoint leaving = new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.groupId(),
                endpoint.role(),
                entry.status(),
                endpoint.startedAt());
        return new DiscoveredEndpoint(leaving, discovered.address());
    }
}
