/**
 * The model of one group of databases on loopback sockets, with a discovery that lists it; for tests.
 */
package crankwick.emulator;
