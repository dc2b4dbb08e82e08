/** The client side: listener, sessions, command admission and ordered replies. */
package crankwick.client;
