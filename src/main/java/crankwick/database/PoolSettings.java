package crankwick.database;

/**
 * Limits of a connection pool.
 *
 * @param connectTimeoutMicros how long a connection may take until the database has greeted it
 * @param serverIdleTimeoutMicros databases end connections that have been idle for so long
 * @param maxConnections connections to all databases together
 */
public record PoolSettings(long connectTimeoutMicros, long serverIdleTimeoutMicros, int maxConnections) {}
