/**
 * The routing module: which endpoint serves a request, when it is retried and when it is rejected.
 * {@link crankwick.routing.Router} takes events with their time and answers with actions; it does no input or
 * output, and has no threads and no clock. Each class owns one kind of state or makes one kind of decision;
 * docs/design.md lists them.
 */
package crankwick.routing;
