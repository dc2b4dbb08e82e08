package crankwick.routing.api;

/**
 * The end of an attempt.
 *
 * @param attempt the attempt's number within its request, from 0
 * @param requestAnswered whether the request has had its final answer
 * @param duration from the sending to the end
 * @param role the role that the endpoint reported, if it did
 * @param position the log position that it reported, or {@link AbsentValue#NONE}
 * @param report its load report, or null
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
