package crankwick.routing.api;

/**
 * The rules that the settings impose on every proxy. Times are in microseconds.
 *
 * @param answerSlack how long after the client's deadline an answer still counts
 * @param drainGrace how long after the drain notice requests may still be sent to a draining endpoint
 * @param unlistedEndpointsUsable whether endpoints removed from the list without draining may still be used
 * @param startCapacity the fraction of full capacity that a process has at its start, in (0, 1]
 * @param slowStartDuration how long after its start a process reaches full capacity
 * @param overloadMultiple the multiple of its current capacity at which an endpoint in slow start collapses
 * @param overloadWindow how long the overload must last to cause the collapse
 */
public record RoutingRules(
        long answerSlack,
        long drainGrace,
        boolean unlistedEndpointsUsable,
        double startCapacity,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
