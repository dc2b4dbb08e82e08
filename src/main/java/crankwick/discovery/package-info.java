/**
 * Endpoint discovery over HTTP long polling or from DNS-SD records in a zone file.
 */
package crankwick.discovery;
