package crankwick.routing.api;

/** The result of a health check; {@code report} is null where none came. */
public record HealthCheckResult(String endpointId, AttemptResult result, long duration, LoadReport report)
        implements RoutingEvent {}
