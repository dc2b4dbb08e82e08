package crankwick.routing.api;

/** The role of an endpoint in its group. */
public enum Role {
    /** The role is not known. */
    UNKNOWN,
    /** The endpoint accepts writes. */
    PRIMARY,
    /** The endpoint applies the log of the primary. */
    REPLICA
}
