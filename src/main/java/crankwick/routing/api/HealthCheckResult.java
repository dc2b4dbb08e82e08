package crankwick.routing.api;

/** The result of a health check; {@code report} is null if no load report was received. */
public record HealthCheckResult(String endpointId, AttemptResult result, long duration, LoadReport report)
        implements RoutingEvent {}
