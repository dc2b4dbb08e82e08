package crankwick.routing.api;

/** The figures of the rules. */
public record RoutingRules(
        long answerSlack,
        long drainGrace,
        boolean unlistedEndpointsUsable,
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
