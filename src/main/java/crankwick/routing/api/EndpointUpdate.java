package crankwick.routing.api;

import java.util.List;

/** A change of the endpoint list. */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints) implements RoutingEvent {}
