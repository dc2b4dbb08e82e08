/**
 * The TDS protocol, version 7.4: codecs between bytes and typed messages for client, database and emulator
 * connections.
 */
package crankwick.tds;
