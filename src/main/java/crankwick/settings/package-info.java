/** Parsing of the platform's settings; only this package maps their keys to the routing module's terms. */
package crankwick.settings;
