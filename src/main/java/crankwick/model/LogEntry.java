package crankwick.model;

/** An entry of the replication log: a write's idempotency key and when it was committed, in microseconds. */
record LogEntry(String idempotencyKey, long committedAt) {}
