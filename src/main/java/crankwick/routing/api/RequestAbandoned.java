package crankwick.routing.api;

/** The client has disconnected; the request needs no answer. */
public record RequestAbandoned(long requestId) implements RoutingEvent {}
