package crankwick.routing.api;

/** What a replica does with a read that needs a later position than it has reached. */
public enum StaleReadPolicy {
    /** It does not check, and serves what it has. */
    SERVE,
    /** It rejects the read. */
    REJECT,
    /** It lets the read wait for a while, then rejects it. */
    WAIT
}
