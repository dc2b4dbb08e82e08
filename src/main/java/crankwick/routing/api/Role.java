package crankwick.routing.api;

/** The role of an endpoint in its group. */
public enum Role {
    /** Not known. */
    UNKNOWN,
    /** It takes writes. */
    PRIMARY,
    /** It applies the primary's log. */
    REPLICA
}
