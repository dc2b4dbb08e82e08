package crankwick.routing.api;

/** How a replica treats a read that needs a later log position than the replica has reached. */
public enum StaleReadPolicy {
    /** The replica does not check positions and serves the data that it has. */
    SERVE,
    /** The replica rejects the read. */
    REJECT,
    /** The replica delays the read until it catches up, and rejects the read if that takes too long. */
    WAIT
}
