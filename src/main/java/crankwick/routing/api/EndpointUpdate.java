package crankwick.routing.api;

import java.util.List;

/** News from the list of servers. */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints) implements RoutingEvent {}
