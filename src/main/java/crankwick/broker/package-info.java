/**
 * The reducer of request state, which turns an event and the current time into effects. It limits each request to one
 * attempt in flight and one reply; the router decides where attempts are sent and whether requests are retried.
 */
package crankwick.broker;
