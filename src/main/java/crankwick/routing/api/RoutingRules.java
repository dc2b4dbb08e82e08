package crankwick.routing.api;

/** Rules of the site that every decision obeys. */
public record RoutingRules(
        long answerSlack,
        long drainGrace,
        boolean unlistedEndpointsUsable,
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
