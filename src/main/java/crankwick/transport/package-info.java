/** Sockets and threads below every protocol: Grizzly transport, base class of the codecs, event loop, clock. */
package crankwick.transport;
