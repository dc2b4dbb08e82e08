package crankwick.database;

import crankwick.routing.api.EndpointUpdateKind;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The hosts of a pool by endpoint id. Confined to the event loop. */
final class HostRegistry {
    /**
     * How long a host is retained after its removal from the endpoint list; no attempt or health check refers to it any
     * more after that time.
     */
    private static final long REMOVED_HOST_RETENTION_MICROS = 60_000_000;

    private final Map<String, Host> hosts = new HashMap<>();

    /** The host of an endpoint; null if the pool has none. */
    Host find(String endpointId) {
        return hosts.get(endpointId);
    }

    Host findOrCreate(String endpointId) {
        Host host = hosts.get(endpointId);
        if (host == null) {
            host = new Host();
            hosts.put(endpointId, host);
        }
        return host;
    }

    /** Applies an update of the endpoint list; a full update marks hosts that it does not name as removed. */
    void update(EndpointUpdateKind kind, List<EndpointAddress> entries, long nowMicros) {
        if (kind == EndpointUpdateKind.FULL) {
            for (Host host : hosts.values()) {
                host.markRemoved(nowMicros);
            }
        }
        for (EndpointAddress entry : entries) {
            findOrCreate(entry.endpoint().id()).update(entry, nowMicros);
        }
    }

    /** The least recently used idle connection of all hosts; null if none is idle. */
    PooledConnection leastRecentlyUsed() {
        PooledConnection oldest = null;
        for (Host host : hosts.values()) {
            PooledConnection candidate = host.leastRecentlyUsed();
            if (candidate != null && (oldest == null || candidate.idleSinceMicros() < oldest.idleSinceMicros())) {
                oldest = candidate;
            }
        }
        return oldest;
    }

    /**
     * Closes connections that have been idle for longer than {@code maxIdleMicros}. Clears removed hosts past their
     * retention, and drops hosts that are not listed and have no idle connections.
     */
    void reap(long nowMicros, long maxIdleMicros) {
        for (Iterator<Host> all = hosts.values().iterator(); all.hasNext(); ) {
            Host host = all.next();
            host.discardIdleBefore(nowMicros - maxIdleMicros);
            if (host.wasRemovedBefore(nowMicros - REMOVED_HOST_RETENTION_MICROS)) {
                host.discardIdle();
                host.unlist();
            }
            if (host.isUnused()) {
                all.remove();
            }
        }
    }
}
