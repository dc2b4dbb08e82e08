/**
 * The interface of the routing module: its settings, input events and requested actions. Times, durations and log
 * positions are in microseconds on the caller's clock. A position is the time up to which an endpoint has applied
 * every commit.
 */
package crankwick.routing.api;
