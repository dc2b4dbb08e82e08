/**
 * Changes of primaries: who leads a group by dated evidence, which requests are held, and which idempotency keys may
 * have run. No input or output.
 */
package crankwick.failover;
