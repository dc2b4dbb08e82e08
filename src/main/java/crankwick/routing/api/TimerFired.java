package crankwick.routing.api;

/** A timer that was armed has fallen due. */
public record TimerFired(long timerId) implements RoutingEvent {}
