package crankwick.model;

/** An entry of the replication log: a write's idempotency key and its commit time in microseconds. */
record LogEntry(String idempotencyKey, long committedAt) {}
