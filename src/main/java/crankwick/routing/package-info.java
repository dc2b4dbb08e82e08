/**
 * The decision module: which server answers a request, when it is retried and when it is rejected.
 * {@link crankwick.routing.Router} takes events and a time and asks for actions; it does no input or output and
 * has no clock.
 */
package crankwick.routing;
