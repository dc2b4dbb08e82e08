package crankwick.discovery;

import crankwick.routing.api.Endpoint;
import crankwick.routing.api.EndpointUpdateKind;
import java.net.InetSocketAddress;
import java.util.List;

/** Where the list of databases comes from: {@link ListUpdate} on the loop, from the start to the end. */
public interface Discovery {
    /** Begins to watch; whatever fails then is asked for again, without being told to. */
    void start();

    /** Reads its configuration again and goes on where that says; an unreadable one changes nothing. */
    void reload();

    /** Stops asking. */
    void close();

    /** A database as the list names it; {@code address} is the one that this proxy reaches it at. */
    record DiscoveredEndpoint(Endpoint endpoint, InetSocketAddress address) {}

    /** What has been heard: changes, or a whole list. */
    record ListUpdate(EndpointUpdateKind kind, List<DiscoveredEndpoint> discovered) {
        /** The list without the addresses. */
        public List<Endpoint> endpoints() {
            return discovered.stream().map(DiscoveredEndpoint::endpoint).toList();
        }
    }
}
