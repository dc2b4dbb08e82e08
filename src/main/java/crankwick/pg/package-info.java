/**
 * PostgreSQL's protocol, version 3: bytes to typed messages and back, on the clients' and the databases' side.
 */
package crankwick.pg;
