package crankwick.model;

/**
 * Input events of a group of databases. Member indexes start at 0. An exchange is one statement or health check;
 * its id is chosen by the host and never reused.
 */
public sealed interface ModelEvent {
    /**
     * A member has received a complete statement.
     *
     * @param idempotencyKey the key of a write; null for a read
     * @param requiredPosition the minimum replication position for a read, in microseconds; 0 for none
     */
    record StatementReceived(long exchangeId, int member, String idempotencyKey, long requiredPosition)
            implements ModelEvent {
        boolean isWrite() {
            return idempotencyKey != null;
        }
    }

    /** A member has received a health check, which requests its load report. */
    record HealthCheckReceived(long exchangeId, int member) implements ModelEvent {}

    /** The connection of an exchange has ended. */
    record ConnectionClosed(long exchangeId) implements ModelEvent {}

    /** A fault of a member's process starts, or ends with {@link Kind#RESTART}. */
    record FaultInjected(Kind kind, int member) implements ModelEvent {
        /** The kinds of faults, and the restart that ends them. */
        public enum Kind {
            /** The member's process ends: its connections fail, and new connections are refused. */
            CRASH,
            /** The member's process stops answering; its connections stay open. */
            HANG,
            /**
             * The member rejects new statements; if it is the leader, another member is elected after the handover
             * delay.
             */
            DRAIN,
            /**
             * A process that is down or draining without being the latest leader starts again and warms up; a hung
             * process resumes. Ignored if the member has collapsed.
             */
            RESTART
        }
    }

    /** The time returned by {@link GroupModel#nextTimerDue} has been reached. */
    record TimerDue() implements ModelEvent {}
}
