package crankwick.routing.api;

/** The request needs no answer from the router: its client has abandoned it, or the caller has answered it. */
public record RequestAbandoned(long requestId) implements RoutingEvent {}
