package crankwick.database;

import crankwick.routing.api.EndpointUpdateKind;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** The hosts of a pool by endpoint id. Lives on the event loop. */
final class HostRegistry {
    /** By then nothing names a removed host any more. */
    private static final long REMOVED_HOST_RETENTION_MICROS = 60_000_000;

    private final Map<String, Host> hosts = new HashMap<>();

    /** Null where nothing is known of the endpoint. */
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

    /** Takes an update of the endpoint list in; a full one removes the hosts that it does not name. */
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

    /** The connection that has been idle longest, to whichever host; null if none is idle. */
    PooledConnection longestIdle() {
        PooledConnection longest = null;
        for (Host host : hosts.values()) {
            PooledConnection candidate = host.longestIdle();
            if (candidate != null && (longest == null || candidate.idleSinceMicros() < longest.idleSinceMicros())) {
                longest = candidate;
            }
        }
        return longest;
    }

    /** Ends connections idle for longer than that, and forgets hosts removed long ago. */
    void reap(long nowMicros, long maxIdleMicros) {
        for (Iterator<Host> all = hosts.values().iterator(); all.hasNext(); ) {
            Host host = all.next();
            host.discardIdleBefore(nowMicros - maxIdleMicros);
            if (host.isRemovedBefore(nowMicros - REMOVED_HOST_RETENTION_MICROS)) {
                host.discardIdle();
                host.unlist();
            }
            if (host.isUnused()) {
                all.remove();
            }
        }
    }
}
