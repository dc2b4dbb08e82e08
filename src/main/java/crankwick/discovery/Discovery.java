package crankwick.discovery;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import java.net.InetSocketAddress;
import java.util.List;

/** Where the list of databases comes from: {@link ListUpdate} on the loop, from the start to the end. */
public interface Discovery {
    /** Begins to watch; failures are retried without end. */
    void start();

    /** Reads its configuration again and continues as that says; an unreadable one changes nothing. */
    void reload();

    /** Stops watching. */
    void close();

    /** An entry of the list, with the address at which this proxy reaches the database. */
    record DiscoveredEndpoint(Endpoint endpoint, InetSocketAddress address) {}

    /** Changes of the list, or a complete list. */
    record ListUpdate(EndpointUpdateKind kind, List<DiscoveredEndpoint> discoveredEndpoints) {
        /** The list without the addresses. */
        public List<Endpoint> endpoints() {
            return discoveredEndpoints.stream()
                    .map(DiscoveredEndpoint::endpoint)
                    .toList();
        }
    }
}
