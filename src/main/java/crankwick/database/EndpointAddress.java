package crankwick.database;

import crankwick.routing.api.Endpoint;
import java.net.InetSocketAddress;

/** A database of the endpoint list, with the address at which this proxy reaches it. */
public record EndpointAddress(Endpoint endpoint, InetSocketAddress address) {}
