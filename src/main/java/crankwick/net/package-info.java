/**
 * The effect runner on sockets: the event loop, client connections, the pool of database connections and the Grizzly
 * transport.
 */
package crankwick.net;
