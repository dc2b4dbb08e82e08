package crankwick.routing.api;

/** The client has closed its connection or cancelled the request; no answer is owed. */
public record RequestAbandoned(long requestId) implements RoutingEvent {}
