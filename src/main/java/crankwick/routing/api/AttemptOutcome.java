package crankwick.routing.api;

/** The end of an attempt; {@code answered} if the client has received its final answer. */
public record AttemptOutcome(
        long requestId,
        int attempt,
        boolean answered,
        AttemptResult result,
        long duration,
        String endpointId,
        Role role,
        long position,
        LoadReport report)
        implements RoutingEvent {}
