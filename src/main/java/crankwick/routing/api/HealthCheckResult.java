package crankwick.routing.api;

/** The result of a health check. */
public record HealthCheckResult(String endpointId, AttemptResult result, long duration, LoadReport report)
        implements RoutingEvent {}
