/**
 * PostgreSQL's protocol, version 3: codecs between bytes and typed messages for client, database and emulator
 * connections.
 */
package crankwick.pg;
