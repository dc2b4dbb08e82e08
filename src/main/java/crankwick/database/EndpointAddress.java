package crankwick.database;

import crankwick.routing.api.Endpoint;
import java.net.InetSocketAddress;

/** An entry of the endpoint list, with the address at which this proxy reaches the database. */
public record EndpointAddress(Endpoint endpoint, InetSocketAddress address) {}
