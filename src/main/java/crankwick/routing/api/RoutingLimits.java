package crankwick.routing.api;

/**
 * The limits defined in the settings. Times are in microseconds.
 *
 * @param healthChecksAllowed whether endpoints may be sent health checks, which return load reports
 * @param cancellationAllowed whether attempts may be cancelled
 * @param retryAfterSupported whether rejections may carry a retry-after time
 * @param maxRetryAfter the maximum retry-after time
 * @param maxAttempts the maximum number of attempts per request, at least 1
 * @param connectTimeout the maximum time to establish a connection
 */
public record RoutingLimits(
        boolean healthChecksAllowed,
        boolean cancellationAllowed,
        boolean retryAfterSupported,
        long maxRetryAfter,
        int maxAttempts,
        long connectTimeout) {}
