package crankwick.model;

/** What a group of databases is told; members count from 0, and refs are the host's, never used twice. */
public sealed interface ModelEvent {
    /**
     * A statement's last byte has arrived.
     *
     * @param key a write's idempotency key; null for a read
     * @param mustSee the position that a read must see, in microseconds; 0 for none
     */
    record Query(long ref, int member, String key, long mustSee) implements ModelEvent {
        boolean isWrite() {
            return key != null;
        }
    }

    /** A question for the load report has arrived. */
    record Probe(long ref, int member) implements ModelEvent {}

    /** The connection that a statement or a probe came on has ended. */
    record Dropped(long ref) implements ModelEvent {}

    /** Something happens to a member. */
    record Trouble(Kind kind, int member) implements ModelEvent {
        /**
         * DIE: the process ends, connections break, new ones are refused. HANG: nothing answers, connections
         * stay. DRAIN: new work is turned away; a primary hands over. RETURN: a dead or drained process
         * starts again, cold; a hung one goes on where it was.
         */
        public enum Kind {
            DIE,
            HANG,
            DRAIN,
            RETURN
        }
    }

    /** The time that {@link GroupModel#nextDue} gave has come. */
    record Due() implements ModelEvent {}
}
