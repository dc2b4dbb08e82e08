package crankwick.routing.api;

/** An input event of the router. */
public sealed interface RoutingEvent
        permits RoutingRequest,
                AttemptOutcome,
                HealthCheckResult,
                EndpointUpdate,
                TimerFired,
                RequestAbandoned,
                ResponseStarted {}
