/** The database side: the connection pool, its commands and replies, and the load report that all protocols share. */
package crankwick.database;
