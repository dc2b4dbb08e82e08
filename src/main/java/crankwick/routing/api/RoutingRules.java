package crankwick.routing.api;

/**
 * What the settings demand of every proxy. Times are microseconds.
 *
 * @param answerSlack how long after a client's deadline its answer still counts
 * @param drainGrace how long after the notice of a drain requests may still be sent there
 * @param unlistedEndpointsUsable whether endpoints that leave the list without draining may still be used
 * @param startCapacity share of its capacity that a process has at its start, over 0 and up to 1
 * @param slowStartDuration how long the capacity takes to rise to all of it
 * @param overloadMultiple multiple of its present capacity at which a warming endpoint collapses
 * @param overloadWindow how long that load has to last
 */
public record RoutingRules(
        long answerSlack,
        long drainGrace,
        boolean unlistedEndpointsUsable,
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
