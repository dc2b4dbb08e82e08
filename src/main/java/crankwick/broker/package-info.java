/**
 * The reducer for the state of requests: (event, now) in, effects out. It keeps one attempt and one answer to a request
 * and asks the decision module for everything else.
 */
package crankwick.broker;
