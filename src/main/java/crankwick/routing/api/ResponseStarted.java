package crankwick.routing.api;

/** The answer has begun to stream: the attempt belongs to the client. */
public record ResponseStarted(long requestId) implements RoutingEvent {}
