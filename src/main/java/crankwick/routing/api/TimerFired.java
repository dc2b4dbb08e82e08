package crankwick.routing.api;

/** A timer scheduled with {@link RoutingActions#scheduleTimer} has fired. */
public record TimerFired(long timerId) implements RoutingEvent {}
