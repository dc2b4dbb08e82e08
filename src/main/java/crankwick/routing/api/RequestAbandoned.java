package crankwick.routing.api;

/** The client has closed its connection or cancelled the request and expects no answer. */
public record RequestAbandoned(long requestId) implements RoutingEvent {}
