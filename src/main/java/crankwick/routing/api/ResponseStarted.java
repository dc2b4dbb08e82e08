package crankwick.routing.api;

/** The response has begun to stream to the client; the request can no longer be retried. */
public record ResponseStarted(long requestId) implements RoutingEvent {}
