package crankwick.failover;

import crankwick.routing.api.AttemptResult;
import crankwick.routing.api.Role;

/**
 * What the end of an attempt says about the endpoint that it was sent to.
 *
 * @param write whether the request was a write, which only a primary serves
 * @param sentAt when the attempt was sent, in microseconds
 * @param role the role that the endpoint reported
 * @param position the log position that it reported; NONE where absent
 */
public record AttemptObservation(
        String endpointId, boolean write, long sentAt, AttemptResult result, Role role, long position) {}
