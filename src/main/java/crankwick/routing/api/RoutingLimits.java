package crankwick.routing.api;

/** What the site allows. */
public record RoutingLimits(
        boolean healthChecksAllowed,
        boolean cancellationAllowed,
        boolean retryAfterSupported,
        long maxRetryAfter,
        int maxAttempts,
        long connectTimeout) {}
