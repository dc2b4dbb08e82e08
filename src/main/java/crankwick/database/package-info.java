/** The database side: the connection pool, its commands and responses, and the load report shared by all protocols. */
package crankwick.database;
