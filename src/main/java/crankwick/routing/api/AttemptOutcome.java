package crankwick.routing.api;

/**
 * Reports that an attempt has ended.
 *
 * @param attempt the index of the attempt within its request, from 0
 * @param requestAnswered whether the request already has its final answer
 * @param duration the time from sending the attempt to its end
 * @param role the role reported by the endpoint, or {@link Role#UNKNOWN}
 * @param position the log position reported by the endpoint, or {@link AbsentValue#NONE}
 * @param report the load report received with the response, or null
 */
public record AttemptOutcome(
        long requestId,
        int attempt,
        boolean requestAnswered,
        AttemptResult result,
        long duration,
        String endpointId,
        Role role,
        long position,
        LoadReport report)
        implements RoutingEvent {}
