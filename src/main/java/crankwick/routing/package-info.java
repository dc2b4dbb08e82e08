/**
 * The routing module decides which endpoint serves a request and when a request is retried or rejected.
 * {@link crankwick.routing.Router} takes timestamped events and responds with actions. It performs no I/O and
 * has no threads or clock of its own. Each class owns one kind of state or makes one kind of decision; docs/design.md
 * lists the classes.
 */
package crankwick.routing;
