package crankwick.routing.api;

/** The response has begun to stream to the client, so the router must no longer retry or answer the request. */
public record ResponseStarted(long requestId) implements RoutingEvent {}
