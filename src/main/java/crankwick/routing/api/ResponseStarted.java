package crankwick.routing.api;

/** The response has begun to stream: the request is out of the router's hands. */
public record ResponseStarted(long requestId) implements RoutingEvent {}
