/**
 * The interface of the routing module: its settings, the events it takes and the actions it asks for. Times,
 * durations and log positions are microseconds on the caller's clock; a position is the time up to which an
 * endpoint has applied every commit.
 */
package crankwick.routing.api;
