package crankwick.database;

import crankwick.routing.api.EndpointUpdateKind;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The hosts of a pool by endpoint id. Confined to the event loop. */
final class HostRegistry {
    /** How long a removed host is retained: after that, no attempt or health check refers to it. */
    private static final long REMOVED_HOST_RETENTION_MICROS = 60_000_000;

    private final Map<String, Host> hosts = new HashMap<>();

    /** The endpoint's host; null if there is none. */
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

    /** Closes connections idle for longer than {@code maxIdleMicros} and drops hosts past their retention. */
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
