package crankwick.model;

/**
 * What a group of databases is told. Members count from 0; an exchange is one statement or health check, whose
 * id the host never uses twice.
 */
public sealed interface ModelEvent {
    /**
     * A statement's last byte has arrived.
     *
     * @param idempotencyKey of a write; null for a read
     * @param requiredPosition the position that a read must see, in microseconds; 0 for none
     */
    record StatementReceived(long exchangeId, int member, String idempotencyKey, long requiredPosition)
            implements ModelEvent {
        boolean isWrite() {
            return idempotencyKey != null;
        }
    }

    /** A health check, which asks for the load report, has arrived. */
    record HealthCheckReceived(long exchangeId, int member) implements ModelEvent {}

    /** The connection of an exchange has ended. */
    record ConnectionClosed(long exchangeId) implements ModelEvent {}

    /** A fault of a member's process begins, or is over. */
    record FaultInjected(Kind kind, int member) implements ModelEvent {
        /** The kinds of faults, and their end. */
        public enum Kind {
            /** The process ends: its connections break, and new ones are refused. */
            CRASH,
            /** Nothing is answered, and connections stay. */
            HANG,
            /** New work is rejected; a leader hands over. */
            DRAIN,
            /** A process that is down or has drained starts again, cold; a hung one goes on where it was. */
            RESTART
        }
    }

    /** The time that {@link GroupModel#nextTimerDue} gave has come. */
    record TimerDue() implements ModelEvent {}
}
