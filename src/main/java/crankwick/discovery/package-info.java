/**
 * The list of databases: HTTP watch and DNS-SD records, and one owner of when discovery is asked.
 */
package crankwick.discovery;
