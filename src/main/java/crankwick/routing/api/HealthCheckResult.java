package crankwick.routing.api;

/** The answer to a probe. */
public record HealthCheckResult(String endpointId, AttemptResult result, long duration, LoadReport report)
        implements RoutingEvent {}
