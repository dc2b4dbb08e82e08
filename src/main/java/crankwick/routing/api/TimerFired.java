package crankwick.routing.api;

/** A scheduled timer has fired. */
public record TimerFired(long timerId) implements RoutingEvent {}
