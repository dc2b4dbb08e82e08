/**
 * Emulates groups of databases on loopback sockets, with a discovery service that lists them; for tests.
 */
package crankwick.emulator;
