package crankwick.routing.api;

/** The client has left; no answer is owed. */
public record RequestAbandoned(long requestId) implements RoutingEvent {}
