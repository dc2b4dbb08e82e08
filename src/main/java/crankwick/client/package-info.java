/** The client side: listener, sessions, admission of commands and the order of their replies. */
package crankwick.client;
