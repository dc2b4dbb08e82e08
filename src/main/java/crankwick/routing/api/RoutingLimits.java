package crankwick.routing.api;

/**
 * What the settings allow. Times are microseconds.
 *
 * @param healthChecksAllowed whether endpoints may be asked for their load reports
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterSupported whether rejections may say when to come again
 * @param maxRetryAfter the longest such time
 * @param maxAttempts attempts of one request, 1 or more
 * @param connectTimeout how long a connection may take to be established
 */
public record RoutingLimits(
        boolean healthChecksAllowed,
        boolean cancellationAllowed,
        boolean retryAfterSupported,
        long maxRetryAfter,
        int maxAttempts,
        long connectTimeout) {}
