/**
 * The reducer for the state of requests: (event, now) in, effects out. It keeps a request to one attempt in flight and
 * one answer, and leaves to the router where attempts are sent and whether they are retried.
 */
package crankwick.broker;
