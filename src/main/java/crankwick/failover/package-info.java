/**
 * Handles failovers of primaries: tracks the leader of each group from timestamped evidence, buffers requests while a
 * group has no leader, and records the idempotency keys of requests that may have executed. Performs no I/O.
 */
package crankwick.failover;
