package crankwick.discovery;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointStatus;
import crankwick.routing.api.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes news of a list's entries, of which some can't be read. Each database is kept as it was last read, so
 * that a fault costs no more than it must: an entry whose name can be read stands for the database as it was,
 * and leads only towards caution. It is as large as the list. Not safe for use by several threads.
 */
public final class EndpointList {
    /**
     * One entry as far as it can be read.
     *
     * @param endpointId the database's name, null if that can't be read
     * @param status null if that can't be read
     * @param discovered null unless all of it can be read
     * @param fault what can't be read, null if all can
     */
    public record Entry(
            String endpointId, EndpointStatus status, Discovery.DiscoveredEndpoint discovered, String fault) {
        /** An entry that can be read. */
        static Entry of(Discovery.DiscoveredEndpoint host) {
            return new Entry(host.endpoint().id(), host.endpoint().status(), host, null);
        }
    }

    private final Map<String, Discovery.DiscoveredEndpoint> last = new HashMap<>();

    /** Goes on from the list last had. */
    public EndpointList(List<Discovery.DiscoveredEndpoint> known) {
        known.forEach(host -> last.put(host.endpoint().id(), host));
    }

    /** What is wrong with the first entry that can't be read, or null. */
    public static String fault(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.fault() != null) {
                return entry.fault();
            }
        }
        return null;
    }

    /** The list that a configuration holds; throws IllegalArgumentException where not all can be read. */
    public static Discovery.ListUpdate known(List<Entry> entries) {
        String fault = fault(entries);
        if (fault != null) {
            throw new IllegalArgumentException(fault);
        }
        List<Discovery.DiscoveredEndpoint> hosts = new ArrayList<>();
        for (Entry entry : entries) {
            hosts.add(entry.discovered());
        }
        return new Discovery.ListUpdate(EndpointUpdateKind.RESTORED, hosts);
    }

    /**
     * The news that a list brings, {@code full} if it claims to name all there are. It is a whole list only
     * where each entry's name can be read: any database might be the one without. Of a database named twice,
     * that it drains counts.
     */
    public Discovery.ListUpdate take(boolean full, List<Entry> entries) {
        Map<String, Discovery.DiscoveredEndpoint> told = new LinkedHashMap<>();
        boolean whole = full;
        for (Entry entry : entries) {
            whole &= entry.endpointId() != null;
            Discovery.DiscoveredEndpoint host = entry.discovered() != null ? entry.discovered() : lastOf(entry);
            if (host != null) {
                told.merge(
                        entry.endpointId(),
                        host,
                        (before, after) -> before.endpoint().status() == EndpointStatus.DRAINING ? before : after);
            }
        }
        if (whole) {
            last.clear();
        }
        told.forEach((server, host) -> {
            if (host.endpoint().status() == EndpointStatus.REMOVED) {
                last.remove(server);
            } else {
                last.put(server, host);
            }
        });
        return new Discovery.ListUpdate(
                whole ? EndpointUpdateKind.FULL : EndpointUpdateKind.INCREMENTAL, new ArrayList<>(told.values()));
    }

    /** The database of an entry that can't be read, as it was, or leaving if that much can be read. */
    private Discovery.DiscoveredEndpoint lastOf(Entry entry) {
        Discovery.DiscoveredEndpoint host = last.get(entry.endpointId());
        if (host == null || entry.status() == null || entry.status() == EndpointStatus.LIVE) {
            return host;
        }
        Endpoint m = host.endpoint();
        return new Discovery.DiscoveredEndpoint(
                new Endpoint(m.id(), m.zone(), m.groupId(), m.role(), entry.status(), m.startedAt()), host.address());
    }
}
