/**
 * Parsing of SQL statements and the hints in their leading comments.
 */
package crankwick.statement;
