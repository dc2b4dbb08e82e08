/**
 * The TDS protocol: bytes to typed messages and back, on the clients' and the databases' side.
 */
package crankwick.tds;
