/**
 * Emulates groups of databases on loopback sockets, with a discovery service that lists them. Used by tests and by
 * {@code emulate}.
 */
package crankwick.emulator;
