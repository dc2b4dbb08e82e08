package crankwick.routing.api;

/** A timer that {@link RoutingActions#scheduleTimer} asked for has fired. */
public record TimerFired(long timerId) implements RoutingEvent {}
