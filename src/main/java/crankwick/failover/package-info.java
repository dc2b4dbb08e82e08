/**
 * Failovers of primaries: who leads a group by dated evidence, which requests are buffered, and which idempotency keys
 * may have executed. No input or output.
 */
package crankwick.failover;
