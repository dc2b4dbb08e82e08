package crankwick.discovery;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import java.net.InetSocketAddress;
import java.util.List;

/** A source of the endpoint list: delivers each {@link ListUpdate} to its listener, on the event loop. */
public interface Discovery {
    /** Starts watching the endpoint list; failures are retried indefinitely. */
    void start();

    /**
     * Reads where the endpoint list comes from again and switches to it; if the configuration cannot be read, nothing
     * changes.
     */
    void reload();

    /** Stops watching the endpoint list. */
    void close();

    /** An entry of the list, with the address at which this proxy reaches the database. */
    record DiscoveredEndpoint(Endpoint endpoint, InetSocketAddress address) {}

    /** Changes to the list or a complete list, depending on {@code kind}. */
    record ListUpdate(EndpointUpdateKind kind, List<DiscoveredEndpoint> discoveredEndpoints) {
        /** The update's endpoints, without their addresses. */
        public List<Endpoint> endpoints() {
            return discoveredEndpoints.stream()
                    .map(DiscoveredEndpoint::endpoint)
                    .toList();
        }
    }
}
