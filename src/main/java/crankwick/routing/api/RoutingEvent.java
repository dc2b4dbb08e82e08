package crankwick.routing.api;

/** An event that the router takes. */
public sealed interface RoutingEvent
        permits RoutingRequest,
                AttemptOutcome,
                HealthCheckResult,
                EndpointUpdate,
                TimerFired,
                RequestAbandoned,
                ResponseStarted {}
