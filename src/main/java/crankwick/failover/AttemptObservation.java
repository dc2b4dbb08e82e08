package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Role;

/**
 * The result of an attempt, as an observation of the endpoint to which it was sent.
 *
 * @param write true if the request was a write, which only a primary serves
 * @param sentAt when the attempt was sent, in microseconds
 * @param role the role that the endpoint reported
 * @param position the log position that the endpoint reported, or NONE if it reported no position
 */
public record AttemptObservation(
        String endpointId, boolean write, long sentAt, AttemptResult result, Role role, long position) {}
