package crankwick.database;

/**
 * Limits of a connection pool.
 *
 * @param connectTimeoutMicros time limit for a new connection, up to the database's greeting
 * @param serverIdleTimeoutMicros idle time after which a database closes a connection
 * @param maxConnections max connections to all databases together
 */
public record PoolSettings(long connectTimeoutMicros, long serverIdleTimeoutMicros, int maxConnections) {}
