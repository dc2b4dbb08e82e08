package crankwick.routing.api;

import java.util.List;

/** An update of the endpoint list, or the notice that discovery is unavailable. */
public record EndpointUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints) implements RoutingEvent {}
